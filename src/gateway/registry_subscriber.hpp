#pragma once

#include "src/core/clock.hpp"
#include "src/discovery/follower.hpp"
#include "src/gateway/peer_channel.hpp"
#include "src/logging/event_log.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace cicadahatch::gateway {

/// \brief Receives from other daemons of the failure domain the changes that they read from the
/// store.
///
/// The daemons of a domain are in rendezvous order, and each subscribes to the first two reachable
/// daemons before it. The first daemon of a domain has no source and reads the store itself, the
/// first few serve all others, and a partitioned domain has its own readers. Not thread-safe: used
/// by the event loop's thread only.
class registry_subscriber {
public:
    using delta_handler = std::function<void(discovery::store_delta delta)>;
    using configuration_handler = std::function<void(const store::entry& entry)>;

    /// \param self this daemon with its failure domain
    /// \param timeout time without a delta after which a source is dropped
    registry_subscriber(forwarding::asio::io_context& loop, const clock& time,
                        logging::event_log& log, daemon_id self, domain_id domain,
                        std::chrono::milliseconds timeout, delta_handler on_delta);

    /// \brief Measures the age of what is received. Sends a clock reading after each publication.
    /// \param lease_time keeps running while the VM is suspended; outlives this object
    void measure_age(const clock& lease_time) { lease_time_ = &lease_time; }

    /// \brief Sets the handler of configurations that sources pass on.
    void on_configuration(configuration_handler handler) { on_configuration_ = std::move(handler); }

    /// \brief Passes a configuration that the store has lost on to all sources, present and future;
    /// null: to none any more.
    void pass_on(const store::entry* configuration);

    /// \brief Replaces the list of registered daemons.
    void set_daemons(const std::vector<discovery::registered_daemon>& daemons);

    void set_timeout(std::chrono::milliseconds timeout) { timeout_ = timeout; }

    /// \brief Connects to sources and drops those that timed out. Called several times a second.
    void tick();

    /// \returns the daemons that are connected or being connected to
    [[nodiscard]] std::vector<daemon_id> sources() const;

private:
    /// A daemon before this one in the order.
    struct source {
        discovery::registered_daemon daemon;
        std::shared_ptr<peer_channel> channel; ///< null: not needed, or dropped
        time_point opened_at;
        time_point last_received_at; ///< the epoch until the first delta
        time_point retry_at;
    };

    void connect(source& target);
    void drop(source& dropped, const char* reason);
    void drop_if_timed_out(source& row, time_point now);
    void close_surplus();
    void on_messages(const daemon_id& from, const std::vector<rpc::message>& received);
    [[nodiscard]] std::optional<time_point>
    find_completeness(const std::vector<rpc::message>& received) const;
    void send_stamp(const source& to) const;
    void on_first_message(const source& from, revision seen);

    forwarding::asio::io_context& loop_;
    const clock& time_;
    logging::event_log& log_;
    daemon_id self_;
    domain_id domain_;
    std::chrono::milliseconds timeout_;
    delta_handler on_delta_;
    configuration_handler on_configuration_;
    std::optional<rpc::configuration_shard> passed_on_;
    const clock* lease_time_ = nullptr; ///< null: the age is not measured
    std::vector<source> predecessors_;  ///< in rendezvous order
};

} // namespace cicadahatch::gateway
