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

/// \brief Keeps the leases under which the orders of cells are sent. The store's calls block, so
/// they are made on a thread of its own.
///
/// A lease is taken before an order is due: an order may only go out once those of another daemon
/// can't arrive any more, and by then it would come late.
class order_lease_manager {
public:
    /// Called on the desk's thread.
    using permit_handler =
        std::function<void(const cell_id&, const std::optional<orders::order_permit>&)>;

    /// \param store used by this object alone
    /// \param time goes on while the machine is suspended; outlives this object
    order_lease_manager(std::unique_ptr<store::key_value_store> store, const clock& time,
                        daemon_id self, const orders::issuer_limits& limits,
                        permit_handler on_permit);
    order_lease_manager(const order_lease_manager&) = delete;
    order_lease_manager& operator=(const order_lease_manager&) = delete;
    order_lease_manager(order_lease_manager&&) = delete;
    order_lease_manager& operator=(order_lease_manager&&) = delete;
    ~order_lease_manager();

    /// \brief Names the cells whose leases are to be held; those of others are given up.
    void hold(std::set<cell_id> cells);

    /// \brief Asks for leave to send an order of a held cell. The handler is called once for each
    /// wish that is taken: with a permit, or with none if another daemon holds the cell for long or
    /// the store does not answer.
    /// \returns false while another wish is under way
    [[nodiscard]] bool request_permit(const cell_id& cell, const orders::order& order);

private:
    struct permit_request {
        cell_id cell;
        orders::order order;
        time_point expires_at; ///< when it is given up
    };
    struct held_cell {
        orders::issuer issuer;
        time_point retry_at; ///< after a failure, or while another daemon holds the cell
    };

    void run();
    void update_leases(const std::set<cell_id>& desired_cells);
    void maintain_lease(held_cell& held);
    /// \returns whether the wish has been answered
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
    std::map<cell_id, held_cell> cells_;            ///< used by the worker alone
    std::thread worker_; ///< last, so that it starts when all else is there
};

} // namespace cicadahatch::gateway
