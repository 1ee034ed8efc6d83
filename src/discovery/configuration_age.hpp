#pragma once

#include "src/core/clock.hpp"

#include <chrono>
#include <optional>

namespace cicadahatch::discovery {

/// \brief How old this daemon's knowledge of the configuration may be, and until when it is
/// complete.
///
/// Times are those of a clock that keeps running while the VM is suspended.
struct configuration_age {
    std::optional<std::chrono::milliseconds> max_age; ///< empty: not bounded
    /// Every version that the store has accepted before this time is known; the epoch: none is.
    time_point complete_as_of;
};

/// \brief Records that every version accepted before a time is known. An earlier time changes
/// nothing.
void confirm(configuration_age& age, time_point complete_as_of);

/// \returns whether keys may have been withdrawn longer ago than permitted without being known
[[nodiscard]] bool is_outdated(const configuration_age& age, time_point now);

} // namespace cicadahatch::discovery
