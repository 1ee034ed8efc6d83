#include "src/scheduling/role_change.hpp"

#include <algorithm>

namespace cicadahatch::scheduling {

namespace {

constexpr std::uint32_t min_donor_pool_size = 2;

/// \returns the role of a pool without engines, or plain
backend_role role_without_engine(const role_balance& balance) {
    if (balance.prefill_engines == 0 && balance.decode_engines > 0) {
        return backend_role::prefill;
    }
    if (balance.decode_engines == 0 && balance.prefill_engines > 0) {
        return backend_role::decode;
    }
    return backend_role::plain;
}

/// \returns the utilization of the busier pool for other pool sizes
double max_pool_utilization(const role_balance& balance, std::uint32_t prefill_engines,
                            std::uint32_t decode_engines) {
    const double prefill = balance.prefill_utilization * balance.prefill_engines / prefill_engines;
    const double decode = balance.decode_utilization * balance.decode_engines / decode_engines;
    return std::max(prefill, decode);
}

/// \returns the pool to which moving an engine lowers the maximum utilization, or plain
backend_role pool_to_grow(const role_balance& balance, const role_change_policy& rule) {
    const std::uint32_t prefill_engines = balance.prefill_engines;
    const std::uint32_t decode_engines = balance.decode_engines;
    const double present = max_pool_utilization(balance, prefill_engines, decode_engines);
    if (present < rule.min_utilization) {
        return backend_role::plain;
    }
    const double target = present * (1 - rule.min_gain);
    if (prefill_engines > rule.min_donor_engines &&
        max_pool_utilization(balance, prefill_engines - 1, decode_engines + 1) <= target) {
        return backend_role::decode;
    }
    if (decode_engines > rule.min_donor_engines &&
        max_pool_utilization(balance, prefill_engines + 1, decode_engines - 1) <= target) {
        return backend_role::prefill;
    }
    return backend_role::plain;
}

backend_role find_overloaded_pool(const role_balance& balance, const role_change_policy& rule) {
    const backend_role missing = role_without_engine(balance);
    if (missing != backend_role::plain) {
        return missing;
    }
    if (balance.prefill_engines == 0) {
        return backend_role::plain;
    }
    if (rule.balances_pools) {
        return pool_to_grow(balance, rule);
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

bool can_donate_engine(double utilization, std::uint32_t engines, const role_change_policy& rule) {
    if (engines < min_donor_pool_size) {
        return false;
    }
    const double utilization_afterwards = utilization * engines / (engines - 1);
    return utilization_afterwards < rule.max_donor_utilization;
}

} // namespace

pool_utilization utilization_between(const offered_work& before, const offered_work& after,
                                     const cell_capacity& capacity, duration interval) {
    const double seconds = std::chrono::duration<double>(interval).count();
    pool_utilization utilization;
    if (capacity.prefill_engines > 0 && seconds > 0) {
        const double demand = after.prefill_seconds - before.prefill_seconds;
        utilization.prefill = demand / seconds / capacity.prefill_engines;
    }
    if (capacity.slots > 0 && seconds > 0) {
        const double demand = after.slot_seconds - before.slot_seconds;
        utilization.decode = demand / seconds / capacity.slots;
    }
    return utilization;
}

void observe_utilization(role_balance& balance, const role_change_policy& rule,
                         double prefill_utilization, double decode_utilization, duration since_last,
                         time_point now) {
    const double weight =
        std::min(1.0, static_cast<double>(since_last.count()) /
                          static_cast<double>(std::max<duration::rep>(rule.smoothing.count(), 1)));
    balance.prefill_utilization += weight * (prefill_utilization - balance.prefill_utilization);
    balance.decode_utilization += weight * (decode_utilization - balance.decode_utilization);
    const backend_role overloaded_pool = find_overloaded_pool(balance, rule);
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
    const duration with_engines =
        needs_prefill ? rule.min_prefill_overload_time : rule.min_overload_time;
    const duration min_overload_time = is_without_engine ? rule.min_empty_pool_time : with_engines;
    if (!balance.overloaded_since || now - *balance.overloaded_since < min_overload_time) {
        return std::nullopt;
    }
    if (balance.changed_at && now - *balance.changed_at < rule.min_change_interval) {
        return std::nullopt;
    }
    if (is_without_engine) {
        const std::uint32_t donor_engines =
            needs_prefill ? balance.decode_engines : balance.prefill_engines;
        return donor_engines >= min_donor_pool_size ? std::optional{balance.overloaded_pool}
                                                    : std::nullopt;
    }
    if (rule.balances_pools) {
        return balance.overloaded_pool;
    }
    const bool can_donate =
        needs_prefill
            ? can_donate_engine(balance.decode_utilization, balance.decode_engines, rule)
            : can_donate_engine(balance.prefill_utilization, balance.prefill_engines, rule);
    return can_donate ? std::optional{balance.overloaded_pool} : std::nullopt;
}

} // namespace cicadahatch::scheduling
