#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/orders/order.hpp"

namespace cicadahatch::orders {

/// \brief Carries one order to an engine: POST /v1/orders.
class order_sender {
public:
    order_sender() = default;
    order_sender(const order_sender&) = delete;
    order_sender& operator=(const order_sender&) = delete;
    order_sender(order_sender&&) = delete;
    order_sender& operator=(order_sender&&) = delete;
    virtual ~order_sender() = default;

    /// \brief Sends an order and waits until the engine has carried it out or refused it.
    ///
    /// It opens a fresh connection first, then looks at the clock, then writes the order in one
    /// piece on that connection, and never sends again. A sender that is frozen between the look
    /// and the write finds the connection closed by the engine after its idle time.
    /// \param not_after the order must not be written later than this
    /// \returns success, or an error of orders::errc
    [[nodiscard]] virtual result<void> send(const order& sent, fencing_number number,
                                            time_point not_after) = 0;
};

} // namespace cicadahatch::orders
