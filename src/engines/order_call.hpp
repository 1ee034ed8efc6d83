#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/engines/messages.hpp"

#include <chrono>

namespace cicadahatch::engines {

/// \brief Sends an order and waits until the engine has carried it out or refused it.
///
/// Opens a fresh connection, then looks at the clock, then writes once and never again.
/// \param not_after the order must not be written later than this
/// \param timeout longest wait for the answer
/// \returns success, errc::too_late, or another error of engines::errc; see is_known_not_executed()
[[nodiscard]] result<void> send_order(const http::endpoint& place, const order_request& asked,
                                      const clock& time, time_point not_after,
                                      std::chrono::milliseconds timeout);

} // namespace cicadahatch::engines
