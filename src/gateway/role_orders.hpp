#pragma once

#include "src/forwarding/exchange.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/gateway/home_server.hpp"
#include "src/gateway/order_desk.hpp"
#include "src/scheduling/role_change.hpp"

#include <map>
#include <optional>
#include <set>

namespace cicadahatch::gateway {

/// \brief Moves engines between the prefill and the decode pool of the cells whose home this
/// daemon is. Used by the event loop's thread.
///
/// An engine gets no new work from the moment its order is sent until it is listed in its new role,
/// or the time for that has passed.
class role_orders {
public:
    /// \param state,homes,lease_time outlive this object
    /// \param lease_time the desk's clock
    role_orders(forwarding::gateway_state& state, home_server& homes, const clock& lease_time,
                daemon_id self, bool checks_fencing);

    /// \brief Without a desk nothing is ordered.
    void set_desk(order_desk* desk) noexcept { desk_ = desk; }

    /// \brief Looks at the use of the pools; to be called some times a second.
    void tend();

    /// \brief Takes in what the desk has told.
    void on_permit(const cell_id& cell, const std::optional<orders::order_permit>& permit);

private:
    /// An engine that is to change its role.
    struct change {
        backend_id engine;
        incarnation started;
        backend_role role = backend_role::decode;
        std::optional<time_point> ordered_until; ///< set once ordered: when it is given up
    };
    struct cell_roles {
        scheduling::role_balance balance;
        scheduling::offered_work offered; ///< when last observed
        time_point observed_at;
        time_point busy_at; ///< when it was set up, or last had requests
        std::optional<change> under_way;
    };

    void hold_leases();
    void observe(const cell_id& id, const scheduling::cell_state& cell, cell_roles& roles);
    void consider(const cell_id& id, const scheduling::cell_state& cell, cell_roles& roles);
    void watch(const cell_id& id, cell_roles& roles);
    void finish(const cell_id& id, cell_roles& roles, const char* outcome);
    [[nodiscard]] const discovery::backend* still_due(const change& wanted) const;
    [[nodiscard]] std::chrono::milliseconds change_time(const cell_id& id) const;
    /// \returns an empty answer without a call that may not be sent
    [[nodiscard]] forwarding::asio::awaitable<forwarding::full_response>
    call_if(bool may_send, discovery::backend engine, forwarding::engine_call made);
    [[nodiscard]] forwarding::asio::awaitable<void>
    send(cell_id id, discovery::backend engine, backend_role role, orders::order_permit permit);

    forwarding::gateway_state& state_;
    home_server& homes_;
    const clock& lease_time_;
    daemon_id self_;
    bool checks_fencing_;
    order_desk* desk_ = nullptr;
    std::map<cell_id, cell_roles> cells_;
    std::set<cell_id> held_; ///< cells whose leases the desk holds
};

} // namespace cicadahatch::gateway
