#include "src/serving/platform_share.hpp"

#include "src/membership/constants.hpp"

#include <algorithm>

namespace cicadahatch::serving {

namespace {

/// What the platform takes from all daemons together.
constexpr double platform_reads_per_second = 2000;
constexpr double platform_writes_per_second = 300;

/// Daemons of a full-size fleet.
constexpr std::size_t largest_fleet = 410;

/// Calls that a daemon may save up, enough for a start and for a burst of bookings.
constexpr double saved_calls = 50;

} // namespace

store::call_budget budget_of(platform_share& share, std::size_t live, time_point now) {
    share.most_live = std::max(share.most_live, live);
    const bool is_new = now - share.started < membership::detection_bound;
    auto budget = store::share_budget(platform_reads_per_second, platform_writes_per_second,
                                      is_new ? largest_fleet : share.most_live);
    budget.read_burst = saved_calls;
    budget.write_burst = saved_calls;
    return budget;
}

} // namespace cicadahatch::serving
