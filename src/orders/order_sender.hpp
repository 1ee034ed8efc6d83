#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/orders/order.hpp"

namespace cicadahatch::orders {

/// \brief Sends orders to engines with POST /v1/orders.
class order_sender {
public:
    order_sender() = default;
    order_sender(const order_sender&) = delete;
    order_sender& operator=(const order_sender&) = delete;
    order_sender(order_sender&&) = delete;
    order_sender& operator=(order_sender&&) = delete;
    virtual ~order_sender() = default;

    /// \brief Sends an order and waits until the engine has executed or refused it.
    ///
    /// Opens a new connection, then checks the clock, then writes the order in one write on that
    /// connection, and never retries. If the process is suspended between the check and the write,
    /// the engine has closed the connection after its idle timeout and the write fails.
    /// \param not_after deadline for writing the order
    /// \returns success, or an error of orders::errc
    [[nodiscard]] virtual result<void> send(const order& order, fencing_number number,
                                            time_point not_after) = 0;
};

} // namespace cicadahatch::orders
