#pragma once

#include "src/cells/home.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/gateway/listener.hpp"
#include "src/gateway/peer_channel.hpp"
#include "src/gateway/usage_home.hpp"
#include "src/logging/event_log.hpp"

#include <map>
#include <memory>
#include <set>

namespace cicadahatch::gateway {

/// \brief Serves the cells whose home is this daemon, by answering the other daemons' placement
/// requests. Not thread-safe: used by the event loop's thread only.
class home_server {
public:
    home_server(forwarding::gateway_state& state, scheduling::cell_policy policy);

    [[nodiscard]] result<void> open(const http::endpoint& place);

    /// \brief Reloads the cells' engines and services after a change.
    void refresh();

    /// \brief Redirects the other daemons to the next home candidate.
    void leave();

    /// \brief Performs periodic work: removes closed connections, sends heartbeats and polls usage.
    /// Called several times a second.
    void tick();

    /// \brief Stops or resumes the assignment of new work to an engine.
    void set_paused(const cell_id& cell, const backend_id& engine, bool is_paused);

    [[nodiscard]] const cells::home& cells() const noexcept { return home_; }

private:
    void accept(forwarding::tcp::socket socket);
    void on_messages(const std::shared_ptr<peer_channel>& from, const daemon_id& peer,
                     const std::vector<rpc::message>& received);
    /// Makes a connection the one used to answer a daemon, unless that daemon has opened a later
    /// one. Data delayed by a network partition arrives on a connection that its daemon has already
    /// replaced.
    /// \returns whether the connection is the current one
    [[nodiscard]] bool adopt_connection(const std::shared_ptr<peer_channel>& from,
                                        const daemon_id& peer);
    /// Starts usage polling of an engine on which a stream failed: the stream may continue there.
    void note_failed_stream(const rpc::message& message);
    /// Marks an engine as leaving that has told another daemon so.
    void note_leaving_engine(const rpc::message& message);
    /// Starts usage polling of the engines of cells that this home has taken over. Streams of a
    /// failed daemon continue on an engine until it notices the failure.
    void poll_engines_of_new_cells(time_point now);
    /// Continues to poll an engine that runs streams unknown to this home, until they end.
    void extend_usage_polling(const backend_id& engine);
    void schedule();
    void run();
    void log_refused_requests();
    /// Logs what has changed in the knowledge of prompts that crash engines.
    void log_suspects();
    /// Sends that knowledge to all daemons if it has changed, so that it outlasts this home.
    void publish_suspects();
    void send_heartbeats();
    [[nodiscard]] bool has_missing_daemons() const;
    void poll_usage(time_point now);
    [[nodiscard]] forwarding::asio::awaitable<void> poll_engine(discovery::backend engine);

    forwarding::gateway_state& state_;
    cells::home home_;
    usage_home usage_home_;
    listener listener_;
    forwarding::asio::steady_timer timer_;
    std::vector<std::shared_ptr<peer_channel>> channels_; ///< in order of acceptance
    std::map<daemon_id, std::shared_ptr<peer_channel>>
        channel_by_daemon_; ///< latest connection of each daemon
    time_point last_run_at_;
    time_point last_heartbeat_at_;                  ///< when idle heartbeats were last sent
    time_point last_poll_at_;                       ///< when usage was last polled
    std::map<backend_id, time_point> polled_until_; ///< end of usage polling per engine
    std::set<cell_id> known_cells_;                 ///< cells whose usage polling has started
    bool is_scheduled_ = false;
};

} // namespace cicadahatch::gateway
