#pragma once

#include <chrono>

namespace cicadahatch {

/// A point on the monotonic clock of this process. Not comparable between processes.
using time_point = std::chrono::steady_clock::time_point;

/// A point of calendar time. Comparable between processes only within the clocks' skew.
using wall_time = std::chrono::system_clock::time_point;

/// Durations are carried in nanoseconds; every chrono duration converts to them implicitly.
using duration = std::chrono::nanoseconds;

/// \brief Source of time, passed to everything that measures or waits.
/// \sa system_clock, manual_clock
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    clock(clock&&) = delete;
    clock& operator=(clock&&) = delete;
    virtual ~clock() = default;

    /// \returns the monotonic time
    [[nodiscard]] virtual time_point now() const = 0;

    /// \returns the calendar time
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

} // namespace cicadahatch
