#include "src/serving/digest_period.hpp"

#include "src/membership/constants.hpp"

#include <algorithm>

namespace cicadahatch::serving {

namespace {

/// Encoded digest with its key and version, about.
constexpr double digest_bytes = 65;

} // namespace

duration digest_period(std::size_t cells, const digest_limits& limits) {
    const double round_bytes = static_cast<double>(cells * membership::push_fanout) * digest_bytes;
    const std::chrono::duration<double> needed{round_bytes / limits.bytes_per_second};
    return std::clamp(std::chrono::duration_cast<duration>(needed), duration{limits.shortest},
                      duration{limits.longest});
}

} // namespace cicadahatch::serving
