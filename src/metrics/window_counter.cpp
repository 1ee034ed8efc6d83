#include "src/metrics/window_counter.hpp"

namespace cicadahatch::metrics {

namespace {

std::int64_t step_number(time_point at) {
    return at.time_since_epoch() / window_step;
}

} // namespace

void window_counter::record(time_point now, bool is_good) {
    const std::int64_t number = step_number(now);
    const std::lock_guard lock{mutex_};
    step& current = steps_[static_cast<std::size_t>(number) % step_count];
    if (current.number > number) {
        return; // A thread that was held up past a whole round of the ring.
    }
    if (current.number != number) {
        current = {number, {}};
    }
    ++current.counted.requests;
    current.counted.good += is_good ? 1 : 0;
}

window_count window_counter::over(time_point now, duration window) const {
    const std::int64_t last = step_number(now);
    const std::int64_t first = last - window / window_step;
    window_count sum;
    const std::lock_guard lock{mutex_};
    for (const step& each : steps_) {
        if (each.number > first && each.number <= last) {
            sum.requests += each.counted.requests;
            sum.good += each.counted.good;
        }
    }
    return sum;
}

} // namespace cicadahatch::metrics
