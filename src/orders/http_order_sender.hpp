#pragma once

#include "src/orders/order_sender.hpp"

#include <chrono>

namespace cicadahatch::orders {

/// \brief Sends orders over HTTP. Thread-safe.
class http_order_sender final : public order_sender {
public:
    /// \param time outlives this object
    /// \param response_timeout maximum wait for an engine's response
    http_order_sender(const clock& time, std::chrono::milliseconds response_timeout)
        : time_(time), response_timeout_(response_timeout) {}

    [[nodiscard]] result<void> send(const order& order, fencing_number number,
                                    time_point not_after) override;

private:
    const clock& time_;
    std::chrono::milliseconds response_timeout_;
};

} // namespace cicadahatch::orders
