#pragma once

#include "src/cells/crash_suspects.hpp"
#include "src/core/clock.hpp"
#include "src/rpc/messages.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace cicadahatch::cells {

/// \brief Engines, services and daemons of a cell.
struct cell_topology {
    std::vector<scheduling::engine_spec> engines;
    std::vector<scheduling::service_spec> services;
    std::vector<daemon_id> daemons; ///< may hold grants issued by the cell
};

/// \brief A message that a home queues for a daemon.
struct outgoing_message {
    daemon_id destination;
    rpc::message payload;
};

/// \brief A refusal, its inputs and the cell that issued it.
struct refused_request {
    cell_id cell;
    scheduling::refusal refusal;
};

/// \brief Schedules the cells for which this daemon acts as the home.
///
/// The home of a cell is the one daemon that admits its requests and reserves its engines. A cell
/// is created when the first message about it arrives. Performs no I/O. Not thread-safe.
class home {
public:
    using topology_source = std::function<cell_topology(const cell_id&)>;

    /// \param time outlives this object
    home(const clock& time, scheduling::cell_policy policy, topology_source topology);

    /// \brief Processes a message received from a daemon. Messages of other types are ignored.
    void handle(const daemon_id& from, const rpc::message& message);

    /// \brief Reloads the engines and services of all cells from the topology source.
    void refresh_topology();

    /// \brief Renews the grants of a connected daemon. Grants that are not renewed expire after
    /// cell_policy::owner_timeout.
    void renew(const daemon_id& daemon);

    /// \brief Withdraws the waiting requests of a disconnected daemon, which resubmits them to
    /// another home.
    void disconnect(const daemon_id& daemon);

    /// \brief Drops all cells and refuses waiting and later requests with refusal_reason::leaving,
    /// so that their owners turn to the next home.
    void leave();

    /// \brief Applies the resource usage that an engine reports for all its streams.
    void update_usage(const scheduling::engine_usage& usage);

    /// \brief Stops or resumes granting new work on an engine.
    void set_paused(const cell_id& cell, const backend_id& engine, bool is_paused);

    /// \brief Runs one scheduling pass over every cell and queues the resulting messages.
    void tick();

    /// \returns the queued messages in sending order; empties the queue
    [[nodiscard]] std::vector<outgoing_message> take_messages();

    /// \returns the refusals since the last call, for logging
    [[nodiscard]] std::vector<refused_request> take_refusals();

    /// \returns the changes of belief about prompts that crash engines, and the refusals because of
    /// them, since the last call, for logging
    [[nodiscard]] std::vector<suspect_event> take_suspect_events();

    /// \returns what is known of prompts that crash engines if it has changed since the last call
    [[nodiscard]] std::optional<rpc::crashing_parts> take_changed_suspects();

    [[nodiscard]] const crash_suspects& suspects() const { return suspects_; }

    /// \returns whether any request is waiting, so that tick() must be called soon
    [[nodiscard]] bool has_waiting() const;
    /// \returns whether a request of that daemon is waiting
    [[nodiscard]] bool has_waiting(const daemon_id& owner) const;
    [[nodiscard]] const std::map<cell_id, scheduling::cell_state>& cells() const { return cells_; }

private:
    void on(const daemon_id& from, const rpc::acquire& request);
    void on(const daemon_id& from, const rpc::withdraw& withdrawal);
    void on(const daemon_id& from, const rpc::release& release);
    void on(const daemon_id& from, const rpc::prefill_finished& event);
    void on(const daemon_id& from, const rpc::first_token& event);
    void on(const daemon_id& from, const rpc::register_grants& registration);
    void on(const daemon_id& from, const rpc::crashing_parts& known);
    /// \returns the decode engine of a grant; empty if the grant is unknown
    [[nodiscard]] static backend_id decode_engine_of(const scheduling::cell_state& cell,
                                                     const request_id& key);
    [[nodiscard]] scheduling::cell_state& find_or_create(const cell_id& cell);
    [[nodiscard]] scheduling::cell_state* find(const cell_id& cell);
    void release_unregistered(scheduling::cell_state& cell, const daemon_id& owner);
    /// Lowers the rank and relaxes the target of a request whose prompt was refused recently.
    [[nodiscard]] rpc::acquire demote_if_resubmitted(const rpc::acquire& request) const;
    void record_refusal(const request_id& key);
    void expire_refusals(time_point now);
    void refuse(const daemon_id& owner, const rpc::acquire& request, rpc::refusal_reason reason,
                std::chrono::milliseconds retry_after = {});

    const clock& time_;
    scheduling::cell_policy policy_;
    topology_source topology_;
    std::map<cell_id, scheduling::cell_state> cells_;
    std::vector<outgoing_message> outbox_;
    std::vector<refused_request> refusals_;
    std::map<daemon_id, std::set<request_id>> registering_; ///< grants registered so far, by daemon
    std::unordered_map<request_id, std::uint64_t> prompt_keys_; ///< of waiting requests
    std::unordered_map<std::uint64_t, time_point> refused_at_;  ///< by prompt key
    crash_suspects suspects_;
    bool is_leaving_ = false;
};

} // namespace cicadahatch::cells
