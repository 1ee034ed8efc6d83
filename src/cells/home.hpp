#pragma once

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

/// \brief What a cell is made of.
struct cell_topology {
    std::vector<scheduling::engine_spec> engines;
    std::vector<scheduling::service_spec> services;
    std::vector<daemon_id> daemons; ///< may hold grants of it
};

/// \brief A message of a home to a daemon.
struct outgoing_message {
    daemon_id destination;
    rpc::message payload;
};

/// \brief A refusal of a home with what it rests on.
struct refused_request {
    cell_id cell;
    scheduling::refusal refusal;
};

/// \brief The cells whose home this daemon is taken for. A cell is set up when a daemon first
/// sends a message about it. Does no input or output and is used by one thread.
class home {
public:
    using topology_source = std::function<cell_topology(const cell_id&)>;

    /// \param time outlives this object
    home(const clock& time, scheduling::cell_policy policy, topology_source parts);

    /// \brief Takes in a message of a daemon.
    void handle(const daemon_id& from, const rpc::message& received);

    /// \brief Takes in that engines or services have changed.
    void refresh_topology();

    /// \brief Notes that a daemon is connected; grants of the others lapse after a while.
    void renew(const daemon_id& connected);

    /// \brief Notes that a daemon's connection has ended: it asks again elsewhere for what waits.
    void disconnect(const daemon_id& lost);

    /// \brief Gives the cells up: whoever waits is sent to the next home.
    void leave();

    /// \brief Takes in what an engine's streams use together.
    void update_usage(const scheduling::engine_usage& usage);

    /// \brief Holds new work back from an engine, or ends that.
    void set_paused(const cell_id& cell, const backend_id& engine, bool is_paused);

    /// \brief Runs the systems of all cells.
    void tick();

    /// \returns the messages to send, in their order
    [[nodiscard]] std::vector<outgoing_message> take_messages();

    /// \returns the refusals since the last call, for the log
    [[nodiscard]] std::vector<refused_request> take_refusals();

    /// \returns whether a request waits, so that tick() has to be called soon
    [[nodiscard]] bool has_waiting() const;
    [[nodiscard]] bool has_waiting(const daemon_id& owner) const;
    [[nodiscard]] const std::map<cell_id, scheduling::cell_state>& cells() const { return cells_; }

private:
    void on(const daemon_id& from, const rpc::acquire& asked);
    void on(const daemon_id& from, const rpc::withdraw& gone);
    void on(const daemon_id& from, const rpc::release& ended);
    void on(const daemon_id& from, const rpc::prefill_finished& done);
    void on(const daemon_id& from, const rpc::first_token& seen);
    void on(const daemon_id& from, const rpc::register_grants& held);
    [[nodiscard]] scheduling::cell_state& hosted(const cell_id& cell);
    [[nodiscard]] scheduling::cell_state* find(const cell_id& cell);
    void drop_unregistered(scheduling::cell_state& cell, const daemon_id& owner);
    [[nodiscard]] rpc::acquire as_returning(const rpc::acquire& asked) const;
    void note_refusal(const request_id& name);
    void forget_old_refusals(time_point now);
    void refuse(const daemon_id& to, const rpc::acquire& asked, rpc::refusal_reason reason);

    const clock& time_;
    scheduling::cell_policy policy_;
    topology_source parts_;
    std::map<cell_id, scheduling::cell_state> cells_;
    std::vector<outgoing_message> outbox_;
    std::vector<refused_request> refusals_;
    std::map<daemon_id, std::set<request_id>> registering_;    ///< grants listed so far
    std::unordered_map<request_id, std::uint64_t> prompts_;    ///< of waiting requests
    std::unordered_map<std::uint64_t, time_point> refused_at_; ///< by prompt
    bool is_leaving_ = false;
};

} // namespace cicadahatch::cells
