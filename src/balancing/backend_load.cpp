#include "src/balancing/backend_load.hpp"

#include <algorithm>

namespace cicadahatch::balancing {

namespace {

/// Weight of a new observation in the moving average is 1/8: the average follows a change within
/// about eight prefills, which is under a second at an engine's full rate.
constexpr int average_divisor = 8;

/// Adds an observation to a moving average; zero: there is none yet.
void update_average(duration& average, duration elapsed) {
    average =
        average == duration::zero() ? elapsed : average + (elapsed - average) / average_divisor;
}

} // namespace

backend_load& load_of(load_table& loads, const backend_id& id, incarnation started) {
    backend_load* entry = loads.find(id);
    if (entry == nullptr) {
        backend_load fresh;
        fresh.id = id;
        fresh.started = started;
        return loads.insert(fresh);
    }
    if (entry->started != started) {
        backend_load fresh;
        fresh.id = id;
        fresh.started = started;
        *entry = fresh;
    }
    return *entry;
}

void record_success(backend_load& load) {
    load.consecutive_failures = 0;
    load.ejected_until = {};
}

bool record_failure(backend_load& load, const ejection_policy& policy, time_point now) {
    ++load.consecutive_failures;
    if (load.consecutive_failures < policy.failures) {
        return false;
    }
    load.ejected_until = now + policy.period;
    if (policy.starts_slowly) {
        begin_slow_start(load.pace, load.ejected_until);
    }
    return true;
}

bool record_answer_time(backend_load& load, duration elapsed) {
    const bool is_usual = load.answer_time == duration::zero() || elapsed <= 2 * load.answer_time;
    update_average(load.answer_time, elapsed);
    return is_usual;
}

bool extend_backoff(backend_load& load, time_point until) {
    const bool is_extended = until > load.backoff_until;
    load.backoff_until = std::max(load.backoff_until, until);
    return is_extended;
}

bool state_limit(backend_load& load, double requests_per_second, std::size_t daemons,
                 random_source& random, time_point now) {
    if (!load.limit) {
        load.limit = make_request_limit(requests_per_second, random, now);
        return true;
    }
    const bool is_changed = load.limit->requests_per_second != requests_per_second;
    set_rate(*load.limit, requests_per_second, daemons, now);
    return is_changed;
}

bool lift_limit(backend_load& load, time_point sent_at) {
    if (!load.limit || sent_at <= load.limit->stated_at) {
        return false;
    }
    load.limit.reset();
    return true;
}

void record_prefill(backend_load& load, duration elapsed) {
    update_average(load.prefill_time, elapsed);
}

} // namespace cicadahatch::balancing
