#include "src/balancing/backend_load.hpp"

#include <algorithm>

namespace cicadahatch::balancing {

namespace {

/// One part of this many of each new observation goes into a moving average: reacts within about
/// eight prefills, which is under a second at an engine's full rate.
constexpr int average_divisor = 8;

} // namespace

backend_load& load_of(load_table& loads, const backend_id& id, incarnation started) {
    backend_load* known = loads.find(id);
    if (known == nullptr) {
        backend_load fresh;
        fresh.id = id;
        fresh.started = started;
        return loads.insert(fresh);
    }
    if (known->started != started) {
        backend_load fresh;
        fresh.id = id;
        fresh.started = started;
        *known = fresh;
    }
    return *known;
}

void record_success(backend_load& load) {
    load.consecutive_failures = 0;
    load.ejected_until = {};
}

bool record_failure(backend_load& load, const ejection_policy& rules, time_point now) {
    ++load.consecutive_failures;
    if (load.consecutive_failures < rules.failures) {
        return false;
    }
    load.ejected_until = now + rules.period;
    return true;
}

bool extend_backoff(backend_load& load, time_point until) {
    const bool is_longer = until > load.backoff_until;
    load.backoff_until = std::max(load.backoff_until, until);
    return is_longer;
}

void record_prefill(backend_load& load, duration taken) {
    if (load.prefill_time == duration::zero()) {
        load.prefill_time = taken;
        return;
    }
    load.prefill_time += (taken - load.prefill_time) / average_divisor;
}

} // namespace cicadahatch::balancing
