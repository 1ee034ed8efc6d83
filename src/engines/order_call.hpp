#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/engines/messages.hpp"

#include <chrono>

namespace cicadahatch::engines {

/// \brief Sends an order and waits until the engine has executed or refused it.
///
/// Opens a new connection, then checks the clock, then writes the order once without retries.
/// \param not_after deadline for writing the order
/// \param timeout maximum wait for the response
/// \returns success, errc::too_late, or another error of engines::errc; see is_known_not_executed()
[[nodiscard]] result<void> send_order(const http::endpoint& endpoint, const order_request& order,
                                      const clock& time, time_point not_after,
                                      std::chrono::milliseconds timeout);

} // namespace cicadahatch::engines
