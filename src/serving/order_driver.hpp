#pragma once

#include "src/orders/issuer.hpp"
#include "src/orders/order_sender.hpp"
#include "src/serving/order_cell.hpp"
#include "src/serving/order_pace.hpp"
#include "src/serving/order_roles.hpp"
#include "src/serving/worker_group.hpp"
#include "src/settings/daemon_settings.hpp"

#include <cstddef>
#include <map>
#include <mutex>
#include <system_error>
#include <vector>

namespace cicadahatch::serving {

/// \brief Issues the orders to the engines of the cells whose home this daemon is. Safe for use by
/// threads.
///
/// A cell's lease is taken once an order is due and given up after the idle time of the rules, so
/// that a fleet in its wanted state writes nothing to the store. Each order waits for its engine on
/// a thread of its own; an engine has one order under way at most.
class order_driver {
public:
    /// \param kept,time,sender outlive this object
    /// \param self named in the leases' keys, for operators
    order_driver(store::key_value_store& kept, const clock& time, const daemon_id& self,
                 const settings::order_rules& rules, orders::order_sender& sender);

    /// \brief Looks at each hosted cell, takes or keeps its lease if needed, and sends what is due.
    /// A cell that is hosted no longer is given up. Call it a few times a second.
    /// \param cells_of_fleet cells of all failure domains, which share the weight store's rate
    void tick(const std::vector<order_cell>& hosted, const service_map& services,
              std::size_t cells_of_fleet);

    /// \brief Gives all leases up, as in a graceful shutdown. Later ticks do nothing.
    void stop();

private:
    struct issued_cell {
        orders::issuer issuing;
        role_memory roles;
        order_table sent;
        time_point busy_at; ///< when an order was last due or under way
        time_point next_try;
        bool is_idle = true;
    };
    struct ended_order {
        cell_id cell;
        backend_id engine;
        orders::order_permit used;
        std::error_code outcome;
    };

    void keep_only(const std::vector<order_cell>& hosted);
    void take_in_ended();
    [[nodiscard]] issued_cell& issued(const cell_id& cell);
    void drive(issued_cell& issued, const order_cell& cell, const service_map& services);
    [[nodiscard]] std::vector<orders::order> due_orders(issued_cell& issued, const order_cell& cell,
                                                        const service_map& services);
    [[nodiscard]] bool needs_lease(issued_cell& issued, bool is_busy);
    void hold_lease(issued_cell& issued);
    void send(issued_cell& issued, const cell_id& cell, const orders::order& due,
              const orders::order_permit& permit);

    store::key_value_store& kept_;
    const clock& time_;
    daemon_id self_;
    settings::order_rules rules_;
    scheduling::role_change_policy role_rule_;
    orders::order_sender& sender_;
    std::mutex mutex_;
    bool is_stopped_ = false;
    std::map<cell_id, issued_cell> cells_;
    std::mutex ended_mutex_;
    std::vector<ended_order> ended_; ///< guarded by ended_mutex_
    worker_group workers_;           ///< last, so that it ends before what its jobs use
};

} // namespace cicadahatch::serving
