#pragma once

#include "src/core/clock.hpp"

#include <chrono>
#include <cstddef>

namespace cicadahatch::serving {

/// \brief Bounds on the spreading of digests of one kind.
struct digest_limits {
    std::chrono::milliseconds shortest{};
    std::chrono::milliseconds longest{}; ///< goes before the bound on bytes
    double bytes_per_second = 0;         ///< that a daemon sends, before compression
};

/// Digests that stay within their failure domain. Three periods fit into the time that a value is
/// kept, since a round of news misses some daemons.
inline constexpr digest_limits cell_digest_limits{std::chrono::milliseconds{500},
                                                  std::chrono::milliseconds{10'000}, 2'000};

/// Digests that reach all failure domains.
inline constexpr digest_limits domain_digest_limits{std::chrono::milliseconds{5'000},
                                                    std::chrono::milliseconds{15'000}, 1'000};

/// \brief Time between two digests of a cell.
/// \param cells whose digests a daemon passes on
/// \returns the shortest period that keeps the bytes within the limits
[[nodiscard]] duration digest_period(std::size_t cells, const digest_limits& limits);

} // namespace cicadahatch::serving
