#pragma once

#include "src/core/clock.hpp"
#include "src/discovery/follower.hpp"
#include "src/gateway/peer_channel.hpp"
#include "src/logging/event_log.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace cicadahatch::gateway {

/// \brief Hears from other daemons of the failure domain what they read from the store.
///
/// The daemons of a domain stand in rendezvous order, and each hears the first two before it that
/// can be reached. So the first of a domain hears nobody and reads for itself, the next few are
/// heard by all others, and a cut-off domain has readers of its own. Used by the event loop's
/// thread.
class registry_subscriber {
public:
    using delta_handler = std::function<void(discovery::store_delta delta)>;

    /// \param self this daemon with its failure domain
    /// \param timeout without a look, after which a daemon is given up
    registry_subscriber(forwarding::asio::io_context& loop, const clock& time,
                        logging::event_log& log, daemon_id self, domain_id domain,
                        std::chrono::milliseconds timeout, delta_handler on_delta);

    /// \brief Takes in the daemons that are registered.
    void set_daemons(const std::vector<discovery::registered_daemon>& daemons);

    void set_timeout(std::chrono::milliseconds timeout) { timeout_ = timeout; }

    /// \brief Opens the connections that are wanted and gives up silent ones; to be called some
    /// times a second.
    void tick();

    /// \returns the daemons that are heard or being connected to
    [[nodiscard]] std::vector<daemon_id> sources() const;

private:
    /// A daemon before this one in the order.
    struct source {
        discovery::registered_daemon daemon;
        std::shared_ptr<peer_channel> channel; ///< null: not wanted, or given up
        time_point opened_at;
        time_point last_received_at; ///< the epoch until the first look
        time_point retry_at;
    };

    void connect(source& target);
    void drop(source& dropped, const char* reason);
    void drop_if_timed_out(source& row, time_point now);
    void close_surplus();
    void on_messages(const daemon_id& from, const std::vector<rpc::message>& received);

    forwarding::asio::io_context& loop_;
    const clock& time_;
    logging::event_log& log_;
    daemon_id self_;
    domain_id domain_;
    std::chrono::milliseconds timeout_;
    delta_handler on_delta_;
    std::vector<source> predecessors_; ///< in rendezvous order
};

} // namespace cicadahatch::gateway
