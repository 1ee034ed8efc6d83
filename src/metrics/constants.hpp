#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cicadahatch::metrics {

/// Relative error of a quantile read from a latency_histogram, within its range.
inline constexpr double relative_error = 0.01;

/// Range of a latency_histogram; values outside are counted at its ends.
inline constexpr std::chrono::microseconds min_latency{10};
inline constexpr std::chrono::seconds max_latency{1'000};

/// Windows over which the burn rate is worked out.
inline constexpr std::chrono::minutes short_window{5};
inline constexpr std::chrono::minutes long_window{60};

/// Resolution of the windows.
inline constexpr std::chrono::seconds window_step{15};

/// Most refusal reasons told apart in one series; more are counted as "other".
inline constexpr std::size_t max_refusal_reasons = 32;

/// Most series of services and ranks in one recorder; more are counted under the service "other".
inline constexpr std::size_t max_series = 2'048;

/// Largest accepted encoded snapshot, in bytes.
inline constexpr std::size_t max_snapshot_bytes = 16U << 20U;

/// Version of the encoded snapshot.
inline constexpr std::uint32_t snapshot_version = 1;

} // namespace cicadahatch::metrics
