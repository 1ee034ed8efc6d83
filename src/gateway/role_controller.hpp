#pragma once

#include "src/forwarding/exchange.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/gateway/home_server.hpp"
#include "src/gateway/order_lease_manager.hpp"
#include "src/scheduling/role_change.hpp"

#include <map>
#include <optional>
#include <set>

namespace cicadahatch::gateway {

/// \brief Moves engines between the prefill and the decode pool of the cells whose home is this
/// daemon. Not thread-safe: used by the event loop's thread only.
///
/// An engine receives no new work from the time its order is sent until it is registered in its new
/// role or the order times out.
class role_controller {
public:
    /// \param state,home,lease_time outlive this object
    /// \param lease_time clock of the lease manager
    role_controller(forwarding::gateway_state& state, home_server& home, const clock& lease_time,
                    daemon_id self, bool checks_fencing);

    /// \brief Sets the lease manager. No orders are sent without one.
    void set_lease_manager(order_lease_manager* manager) noexcept { lease_manager_ = manager; }

    /// \brief Samples pool utilization and starts or completes role changes. Called several times a
    /// second.
    void tick();

    /// \brief Handles the result of a permit request.
    void on_permit(const cell_id& cell, const std::optional<orders::order_permit>& permit);

private:
    /// A role change of an engine.
    struct role_change {
        backend_id engine;
        incarnation started;
        backend_role role = backend_role::decode;
        std::optional<time_point> ordered_until; ///< deadline; set once the order is sent
    };
    struct cell_roles {
        scheduling::role_balance balance;
        scheduling::offered_work last_offered; ///< at the last sample
        time_point sampled_at;
        time_point last_busy_at; ///< when it was created or last had requests
        std::optional<role_change> pending;
    };

    void update_held_leases();
    void sample_load(const cell_id& id, const scheduling::cell_state& cell, cell_roles& roles);
    void consider_change(const cell_id& id, const scheduling::cell_state& cell, cell_roles& roles);
    void check_progress(const cell_id& id, cell_roles& roles);
    void end_change(const cell_id& id, cell_roles& roles, const char* outcome);
    [[nodiscard]] const discovery::backend* find_changeable(const role_change& change) const;
    [[nodiscard]] std::chrono::milliseconds change_time(const cell_id& id) const;
    /// \returns the response to the call, or an empty one if the call may not be sent
    [[nodiscard]] forwarding::asio::awaitable<forwarding::full_response>
    call_if_allowed(bool may_send, discovery::backend engine, forwarding::engine_call call);
    [[nodiscard]] forwarding::asio::awaitable<void>
    send(cell_id id, discovery::backend engine, backend_role role, orders::order_permit permit);

    forwarding::gateway_state& state_;
    home_server& home_;
    const clock& lease_time_;
    daemon_id self_;
    bool checks_fencing_;
    order_lease_manager* lease_manager_ = nullptr;
    std::map<cell_id, cell_roles> cells_;
    std::set<cell_id> held_; ///< cells whose leases are held
};

} // namespace cicadahatch::gateway
