#include "src/balancing/server_pace.hpp"

#include <algorithm>

namespace cicadahatch::balancing {

namespace {

using namespace std::chrono_literals;

/// A server with few slots gets about one of its first requests from each of eight daemons.
constexpr double initial_fraction = 1.0 / 8;

/// From here, five periods without a bad answer lead to the usual share.
constexpr double min_fraction = 1.0 / 32;

/// Several answers of an ordinary plain request fit into it.
constexpr std::chrono::milliseconds doubling_period = 250ms;

} // namespace

void begin_slow_start(server_pace& pace, time_point at) {
    pace.fraction = initial_fraction;
    pace.changed_at = at;
}

void advance(server_pace& pace, time_point now) {
    while (pace.fraction < 1 && now - pace.changed_at >= doubling_period) {
        pace.fraction = std::min(1.0, pace.fraction * 2);
        pace.changed_at += doubling_period;
    }
}

void record_good_answer(server_pace& pace, time_point now) {
    advance(pace, now);
    pace.fraction = std::min(1.0, pace.fraction * 2);
}

void record_bad_answer(server_pace& pace, time_point now) {
    advance(pace, now);
    if (pace.fraction < 1) {
        pace.fraction = std::max(min_fraction, pace.fraction / 2);
        pace.changed_at = now;
    }
}

} // namespace cicadahatch::balancing
