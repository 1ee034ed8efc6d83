#include "src/forwarding/shutdown_schedule.hpp"

#include "src/forwarding/constants.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Time reserved for the exit of the process; at most half of the limit.
constexpr std::chrono::milliseconds exit_margin = 400ms;

/// Time in which final responses are written and reach their callers; at most a quarter of the
/// limit.
constexpr std::chrono::milliseconds response_margin = 300ms;

} // namespace

shutdown_schedule plan_shutdown(time_point now, std::chrono::milliseconds limit) {
    shutdown_schedule planned;
    planned.exit = now + limit - std::min(exit_margin, limit / 2);
    planned.last_response = planned.exit - std::min(response_margin, limit / 4);
    planned.last_placement = std::max(now, planned.exit - ordinary_stream_duration);
    planned.last_stream_admission = std::min(planned.last_placement, now + balancer_detection_time);
    return planned;
}

} // namespace cicadahatch::forwarding
