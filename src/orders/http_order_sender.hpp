#pragma once

#include "src/orders/order_sender.hpp"

#include <chrono>

namespace cicadahatch::orders {

/// \brief Sends orders over HTTP. Safe for use by threads.
class http_order_sender final : public order_sender {
public:
    /// \param time outlives this object
    /// \param longest_order wait for an engine's answer
    http_order_sender(const clock& time, std::chrono::milliseconds longest_order)
        : time_(time), longest_order_(longest_order) {}

    [[nodiscard]] result<void> send(const order& sent, fencing_number number,
                                    time_point not_after) override;

private:
    const clock& time_;
    std::chrono::milliseconds longest_order_;
};

} // namespace cicadahatch::orders
