#pragma once

#include "src/core/clock.hpp"
#include "src/orders/issuer.hpp"
#include "src/store/key_value_store.hpp"

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace cicadahatch::gateway {

/// \brief Holds the leases under which orders to the engines of cells are sent. Calls to the store
/// block, so a worker thread makes them.
///
/// A lease is acquired before an order is needed. An order may be sent only once orders of the
/// previous holder can no longer arrive; waiting for that on demand would delay the order.
class order_lease_manager {
public:
    /// Called on the worker thread.
    using permit_handler =
        std::function<void(const cell_id&, const std::optional<orders::order_permit>&)>;

    /// \param store used exclusively by this object
    /// \param time advances during system suspend; must outlive this object
    order_lease_manager(std::unique_ptr<store::key_value_store> store, const clock& time,
                        daemon_id self, const orders::issuer_limits& limits,
                        permit_handler on_permit);
    order_lease_manager(const order_lease_manager&) = delete;
    order_lease_manager& operator=(const order_lease_manager&) = delete;
    order_lease_manager(order_lease_manager&&) = delete;
    order_lease_manager& operator=(order_lease_manager&&) = delete;
    ~order_lease_manager();

    /// \brief Sets the cells whose leases are held. Leases of other cells are released.
    void hold(std::set<cell_id> cells);

    /// \brief Records that the store is in a generation from now on.
    void set_generation(store::generation current);

    /// \brief Requests a permit to send an order for a held cell. The handler is called once per
    /// accepted request: with a permit, or without one if no permit was available before the
    /// timeout, because another daemon holds the lease or the store does not respond.
    /// \returns false while another request is pending
    [[nodiscard]] bool request_permit(const cell_id& cell, const orders::order& order);

private:
    struct permit_request {
        cell_id cell;
        orders::order order;
        time_point expires_at; ///< deadline of the request
    };
    struct held_cell {
        orders::issuer issuer;
        time_point retry_at; ///< after a failure, or while another daemon holds the cell
    };

    void run();
    void update_leases(const std::set<cell_id>& desired_cells);
    void maintain_lease(held_cell& held);
    /// \returns whether the handler was called for the request
    [[nodiscard]] bool try_resolve(const permit_request& request);

    std::unique_ptr<store::key_value_store> store_;
    const clock& time_;
    daemon_id self_;
    orders::issuer_limits limits_;
    permit_handler on_permit_;
    std::mutex mutex_;
    std::condition_variable state_changed_;
    std::set<cell_id> desired_cells_;               ///< guarded by mutex_
    std::optional<permit_request> pending_request_; ///< guarded by mutex_
    bool is_closing_ = false;                       ///< guarded by mutex_
    store::generation generation_;                  ///< guarded by mutex_
    time_point generation_since_;                   ///< guarded by mutex_
    std::map<cell_id, held_cell> cells_;            ///< used by the worker thread only
    std::thread worker_; ///< last member: starts after the others are initialized
};

} // namespace cicadahatch::gateway
