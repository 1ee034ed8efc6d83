#pragma once

#include "src/cells/home.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/gateway/listener.hpp"
#include "src/gateway/peer_channel.hpp"
#include "src/logging/event_log.hpp"

#include <map>
#include <memory>
#include <set>

namespace cicadahatch::gateway {

/// \brief Serves the cells whose home this daemon is: answers the other daemons' requests for
/// places. Used by the event loop's thread.
class home_server {
public:
    home_server(forwarding::gateway_state& state, scheduling::cell_policy policy);

    [[nodiscard]] result<void> open(const http::endpoint& place);

    /// \brief Takes in that engines or services have changed.
    void refresh();

    /// \brief Sends the other daemons to the next home.
    void leave();

    /// \brief Does the work that no message triggers; to be called some times a second.
    void tick();

    /// \brief Holds new work back from an engine, or ends that.
    void set_paused(const cell_id& cell, const backend_id& engine, bool is_paused);

    [[nodiscard]] const cells::home& cells() const noexcept { return home_; }

private:
    void accept(forwarding::tcp::socket socket);
    void on_messages(const std::shared_ptr<peer_channel>& from, const daemon_id& peer,
                     const std::vector<rpc::message>& received);
    /// Makes a connection the one on which a daemon is answered, unless it has opened a later one.
    /// Bytes that a cut has held up arrive on a connection that its daemon has given up long ago.
    /// \returns whether the connection is in use
    [[nodiscard]] bool adopt_connection(const std::shared_ptr<peer_channel>& from,
                                        const daemon_id& peer);
    /// Streams that failed may go on at their engine for a while.
    void note_failed_stream(const rpc::message& message);
    /// Other daemons tell of engines that have said that they leave.
    void note_leaving_engine(const rpc::message& message);
    /// Daemons that died may have left streams at the engines of a cell that this home has taken
    /// over; engines go on with them until they notice.
    void poll_engines_of_new_cells(time_point now);
    /// An engine with streams of others is asked again until they have ended.
    void extend_usage_polling(const backend_id& engine);
    void schedule();
    void run();
    void log_refused_requests();
    void send_heartbeats();
    [[nodiscard]] bool has_missing_daemons() const;
    void poll_usage(time_point now);
    [[nodiscard]] forwarding::asio::awaitable<void> poll_engine(discovery::backend engine);

    forwarding::gateway_state& state_;
    cells::home home_;
    listener listener_;
    forwarding::asio::steady_timer timer_;
    std::vector<std::shared_ptr<peer_channel>> channels_; ///< in the order of their opening
    std::map<daemon_id, std::shared_ptr<peer_channel>> channel_by_daemon_; ///< the latest of each
    time_point last_run_at_;
    time_point last_heartbeat_at_; ///< when the last signs of context were sent
    time_point last_poll_at_;      ///< when engines were last asked for their usage
    std::map<backend_id, time_point> polled_until_; ///< engines whose usage is not certain
    std::set<cell_id> known_cells_;                 ///< cells whose engines have been doubted
    bool is_scheduled_ = false;
};

} // namespace cicadahatch::gateway
