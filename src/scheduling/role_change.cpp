#include "src/scheduling/role_change.hpp"

#include <algorithm>

namespace cicadahatch::scheduling {

namespace {

constexpr std::uint32_t smallest_giving_pool = 2;

/// \returns the role that no engine of the cell has, or plain
backend_role role_without_engine(const role_balance& balance) {
    if (balance.prefill_engines == 0 && balance.decode_engines > 0) {
        return backend_role::prefill;
    }
    if (balance.decode_engines == 0 && balance.prefill_engines > 0) {
        return backend_role::decode;
    }
    return backend_role::plain;
}

/// Use of the fuller pool if the pools had other numbers of engines.
double fuller_use(const role_balance& balance, std::uint32_t prefill_engines,
                  std::uint32_t decode_engines) {
    const double prefill = balance.prefill_utilization * balance.prefill_engines / prefill_engines;
    const double decode = balance.decode_utilization * balance.decode_engines / decode_engines;
    return std::max(prefill, decode);
}

/// \returns the pool for which one engine more lowers the use of the fuller one, or plain
backend_role relieved_pool(const role_balance& balance, const role_change_policy& rule) {
    const std::uint32_t prefills = balance.prefill_engines;
    const std::uint32_t decodes = balance.decode_engines;
    const double present = fuller_use(balance, prefills, decodes);
    if (present < rule.min_utilization) {
        return backend_role::plain;
    }
    const double wanted = present * (1 - rule.min_gain);
    if (prefills > rule.min_donor_engines &&
        fuller_use(balance, prefills - 1, decodes + 1) <= wanted) {
        return backend_role::decode;
    }
    if (decodes > rule.min_donor_engines &&
        fuller_use(balance, prefills + 1, decodes - 1) <= wanted) {
        return backend_role::prefill;
    }
    return backend_role::plain;
}

backend_role pressed_pool(const role_balance& balance, const role_change_policy& rule) {
    const backend_role missing = role_without_engine(balance);
    if (missing != backend_role::plain) {
        return missing;
    }
    if (balance.prefill_engines == 0) {
        return backend_role::plain;
    }
    if (rule.balances_pools) {
        return relieved_pool(balance, rule);
    }
    if (balance.prefill_utilization > rule.overload_threshold &&
        balance.prefill_utilization > balance.decode_utilization) {
        return backend_role::prefill;
    }
    if (balance.decode_utilization > rule.overload_threshold &&
        balance.decode_utilization > balance.prefill_utilization) {
        return backend_role::decode;
    }
    return backend_role::plain;
}

bool can_give_engine(double use, std::uint32_t engines, const role_change_policy& rule) {
    if (engines < smallest_giving_pool) {
        return false;
    }
    const double use_afterwards = use * engines / (engines - 1);
    return use_afterwards < rule.max_donor_utilization;
}

} // namespace

pool_utilization utilization_between(const offered_work& before, const offered_work& after,
                                     const cell_capacity& capacity, duration between) {
    const double seconds = std::chrono::duration<double>(between).count();
    pool_utilization use;
    if (capacity.prefill_engines > 0 && seconds > 0) {
        const double asked = after.prefill_seconds - before.prefill_seconds;
        use.prefill = asked / seconds / capacity.prefill_engines;
    }
    if (capacity.slots > 0 && seconds > 0) {
        const double asked = after.slot_seconds - before.slot_seconds;
        use.decode = asked / seconds / capacity.slots;
    }
    return use;
}

void observe_utilization(role_balance& balance, const role_change_policy& rule,
                         double prefill_utilization, double decode_utilization, duration since_last,
                         time_point now) {
    const double weight =
        std::min(1.0, static_cast<double>(since_last.count()) /
                          static_cast<double>(std::max<duration::rep>(rule.smoothing.count(), 1)));
    balance.prefill_utilization += weight * (prefill_utilization - balance.prefill_utilization);
    balance.decode_utilization += weight * (decode_utilization - balance.decode_utilization);
    const backend_role overloaded_pool = pressed_pool(balance, rule);
    if (overloaded_pool == balance.overloaded_pool) {
        return;
    }
    balance.overloaded_pool = overloaded_pool;
    balance.overloaded_since.reset();
    if (overloaded_pool != backend_role::plain) {
        balance.overloaded_since = now;
    }
}

std::optional<backend_role> decide_role_change(const role_balance& balance,
                                               const role_change_policy& rule, time_point now) {
    const bool is_without_engine = role_without_engine(balance) != backend_role::plain;
    const bool needs_prefill = balance.overloaded_pool == backend_role::prefill;
    const duration usual = needs_prefill ? rule.min_prefill_overload_time : rule.min_overload_time;
    const duration min_overload_time = is_without_engine ? rule.min_empty_pool_time : usual;
    if (!balance.overloaded_since || now - *balance.overloaded_since < min_overload_time) {
        return std::nullopt;
    }
    if (balance.changed_at && now - *balance.changed_at < rule.min_change_interval) {
        return std::nullopt;
    }
    if (is_without_engine) {
        const std::uint32_t giving =
            needs_prefill ? balance.decode_engines : balance.prefill_engines;
        return giving >= smallest_giving_pool ? std::optional{balance.overloaded_pool}
                                              : std::nullopt;
    }
    if (rule.balances_pools) {
        return balance.overloaded_pool;
    }
    const bool can_give =
        needs_prefill ? can_give_engine(balance.decode_utilization, balance.decode_engines, rule)
                      : can_give_engine(balance.prefill_utilization, balance.prefill_engines, rule);
    return can_give ? std::optional{balance.overloaded_pool} : std::nullopt;
}

} // namespace cicadahatch::scheduling
