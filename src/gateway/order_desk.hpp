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
class order_desk {
public:
    /// Called on the desk's thread.
    using permit_handler =
        std::function<void(const cell_id&, const std::optional<orders::order_permit>&)>;

    /// \param kept used by this object alone
    /// \param time goes on while the machine is suspended; outlives this object
    order_desk(std::unique_ptr<store::key_value_store> kept, const clock& time, daemon_id self,
               const orders::issuer_limits& limits, permit_handler on_permit);
    order_desk(const order_desk&) = delete;
    order_desk& operator=(const order_desk&) = delete;
    order_desk(order_desk&&) = delete;
    order_desk& operator=(order_desk&&) = delete;
    ~order_desk();

    /// \brief Names the cells whose leases are to be held; those of others are given up.
    void hold(std::set<cell_id> cells);

    /// \brief Asks for leave to send an order of a held cell. The handler is called once for each
    /// wish that is taken: with a permit, or with none if another daemon holds the cell for long or
    /// the store does not answer.
    /// \returns false while another wish is under way
    [[nodiscard]] bool ask(const cell_id& cell, const orders::order& due);

private:
    struct wish {
        cell_id cell;
        orders::order due;
        time_point until; ///< when it is given up
    };
    struct held_cell {
        orders::issuer issuing;
        time_point next_try; ///< after a failure, or while another daemon holds the cell
    };

    void run();
    void follow(const std::set<cell_id>& wanted);
    void keep(held_cell& held);
    /// \returns whether the wish has been answered
    [[nodiscard]] bool try_answer(const wish& wanted);

    std::unique_ptr<store::key_value_store> kept_;
    const clock& time_;
    daemon_id self_;
    orders::issuer_limits limits_;
    permit_handler on_permit_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::set<cell_id> wanted_;           ///< guarded by mutex_
    std::optional<wish> wish_;           ///< guarded by mutex_
    bool is_closing_ = false;            ///< guarded by mutex_
    std::map<cell_id, held_cell> cells_; ///< used by the worker alone
    std::thread worker_;                 ///< last, so that it starts when all else is there
};

} // namespace cicadahatch::gateway
