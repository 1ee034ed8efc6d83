#include "src/store/circuit.hpp"

#include <algorithm>

namespace cicadahatch::store {

bool is_open(const circuit& breaker) {
    return breaker.pause > duration::zero();
}

bool try_pass(circuit& breaker, time_point now) {
    if (!is_open(breaker)) {
        return true;
    }
    if (breaker.is_probing || now < breaker.probe_at) {
        return false;
    }
    breaker.is_probing = true;
    return true;
}

bool record_success(circuit& breaker) {
    const bool was_open = is_open(breaker);
    breaker.failures = 0;
    breaker.pause = duration::zero();
    breaker.is_probing = false;
    return was_open;
}

void record_failure(circuit& breaker, time_point now, random_source& random) {
    ++breaker.failures;
    const bool is_late = is_open(breaker) && !breaker.is_probing;
    if (is_late || breaker.failures < breaker.limits.failures_to_open) {
        return;
    }
    const duration doubled = breaker.pause * 2;
    breaker.pause = std::clamp(doubled, breaker.limits.first_pause, breaker.limits.longest_pause);
    breaker.probe_at = now + random.jittered(breaker.pause);
    breaker.is_probing = false;
}

} // namespace cicadahatch::store
