#pragma once

#include "src/core/clock.hpp"
#include "src/engines/canceller.hpp"
#include "src/rpc/messages.hpp"
#include "src/scheduling/cell_choice.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/grant.hpp"
#include "src/serving/backend_directory.hpp"
#include "src/serving/cell_layout.hpp"
#include "src/serving/copied_grants.hpp"
#include "src/serving/grant_copy.hpp"
#include "src/serving/order_cell.hpp"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <vector>

namespace cicadahatch::serving {

/// \brief A cell's numbers for the operators and for digests.
struct cell_status {
    cell_id id;
    model_id model;
    domain_id domain;
    std::size_t engines = 0;
    std::size_t waiting = 0;
    std::size_t granted = 0;
    std::size_t cached_prefixes = 0; ///< known at its engines
    bool is_registering = false;
};

/// \brief The cells whose home this daemon is: their queues and grants. Safe for use by threads.
///
/// Messages come in through handle(); everything that has to be answered goes out through the
/// sender that it is built with, from tick() or handle().
class cell_host {
public:
    /// \brief Sends a message to a daemon, which may be this one.
    using sender = std::function<void(const daemon_id& to, rpc::message sent)>;

    cell_host(const clock& time, scheduling::cell_policy policy, backend_directory& directory,
              engines::canceller& cancels, sender send);

    [[nodiscard]] std::vector<cell_status> status() const;
    [[nodiscard]] bool is_hosting(const cell_id& cell) const;
    /// \returns what the orders to the engines of each cell depend on
    [[nodiscard]] std::vector<order_cell> order_cells() const;
    /// \returns the engines of all cells
    [[nodiscard]] std::set<backend_id> engines() const;
    [[nodiscard]] std::vector<scheduling::cell_digest> digests() const;
    /// \returns requests waiting and granted in all cells
    [[nodiscard]] std::size_t load() const;

    /// \brief Takes or updates a cell.
    /// \param peers the live daemons that may hold grants of it; they are asked when it is new
    void host(const cell_plan& plan, const std::vector<daemon_id>& peers);

    /// \brief Gives cells up whose home is elsewhere now; their waiting requests are sent away.
    /// \param kept the cells that stay
    void keep_only(const std::set<cell_id>& kept);

    /// \brief Takes in a message of a daemon.
    void handle(const daemon_id& from, const rpc::message& received);

    /// \brief Notes the live daemons; grants of silent ones lapse.
    void renew(const std::vector<daemon_id>& live);

    /// \brief Frees everything that a dead daemon holds.
    void forget_daemon(const daemon_id& dead);

    /// \brief Takes in the latest load of the backend servers.
    void ingest_loads();

    /// \brief Runs the systems of all cells once and sends the answers.
    void tick();

    /// \brief Notes that a copy of a cell's grants was lost: the next one holds all of them.
    void note_lost_copy(const cell_id& cell);

    /// \brief Sends what has changed of each cell's grants to the daemon that is next in line.
    void copy_to(const std::map<cell_id, daemon_id>& successors);

private:
    struct hosted_cell {
        cell_plan plan;
        scheduling::cell_state state;
        copy_progress copies;
    };
    /// A message that is sent once the lock is released.
    struct outgoing {
        daemon_id to;
        rpc::message sent;
    };

    void on(const daemon_id& from, const rpc::acquire& asked);
    void on(const daemon_id& from, const rpc::withdraw& gone);
    void on(const daemon_id& from, const rpc::release& ended);
    void on(const daemon_id& from, const rpc::prefill_finished& done);
    void on(const daemon_id& from, const rpc::first_token& seen);
    void on(const daemon_id& from, const rpc::register_grants& held);
    void on(const daemon_id& from, const rpc::copy_grants& copied);

    /// Applies what the directory knows now; a retry must not wait for the next refresh.
    void take_in_news(hosted_cell& cell);
    [[nodiscard]] hosted_cell* find(const cell_id& cell);
    [[nodiscard]] std::vector<scheduling::engine_spec> specs_of(const cell_plan& plan) const;
    void refuse(const daemon_id& to, const rpc::acquire& asked, rpc::refusal_reason reason);
    void send_grant(const cell_id& cell, const scheduling::grant& issued);
    void cancel_at_engines(const scheduling::grant& released);
    void cancel_all(const std::vector<scheduling::grant>& released);
    void copy_new_grants(hosted_cell& cell, const scheduling::tick_output& decided, time_point now);
    void flush(std::vector<outgoing> messages);
    [[nodiscard]] std::vector<outgoing> take_outbox();

    const clock& time_;
    scheduling::cell_policy policy_;
    backend_directory& directory_;
    engines::canceller& cancels_;
    sender send_;
    mutable std::mutex mutex_;
    std::map<cell_id, hosted_cell> cells_;
    copied_grants copied_;
    std::vector<outgoing> outbox_;
};

} // namespace cicadahatch::serving
