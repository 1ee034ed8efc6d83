#pragma once

#include "src/core/clock.hpp"

#include <cstddef>

namespace cicadahatch::scheduling {

/// \brief Number of daemons that share a limit, from the registrations in the store.
///
/// Registrations may expire in an outage of the store although their daemons still run, and come
/// back within seconds after it. So a smaller number takes effect with a delay: a share that is
/// briefly too small costs little, one that is too large lets all daemons together exceed the
/// limit.
struct daemon_count {
    std::size_t value = 1;      ///< daemons to divide by; at least one
    std::size_t registered = 1; ///< as of the latest list
    time_point smaller_from{};  ///< when a smaller number takes effect; the epoch: none is due
};

/// Delay of a smaller number: twice the interval at which daemons renew their registration.
inline constexpr std::chrono::seconds daemon_loss_delay{10};

/// \brief Records the number of registered daemons. A larger one takes effect at once.
void record_daemons(daemon_count& count, std::size_t registered, time_point now);

/// \brief Lets a smaller number take effect when it is due.
/// \returns whether the value has changed
bool update_daemon_count(daemon_count& count, time_point now);

} // namespace cicadahatch::scheduling
