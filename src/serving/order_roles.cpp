#include "src/serving/order_roles.hpp"

#include "src/serving/order_wishes.hpp"

#include <algorithm>

namespace cicadahatch::serving {

namespace {

/// Time constants of the smoothed use in the time for which a pool must be pressed.
constexpr int smoothings_per_settling = 3;

std::uint32_t count_in(const order_cell& cell, backend_role role) {
    const auto counted = std::count_if(
        cell.plan.engines.begin(), cell.plan.engines.end(), [&](const backend_row& server) {
            return takes_work(server) && present_role(server) == role;
        });
    return static_cast<std::uint32_t>(counted);
}

/// \returns whether an engine tells another role than before
bool take_in_roles(role_memory& memory, const order_cell& cell) {
    bool is_changed = false;
    for (const backend_row& server : cell.plan.engines) {
        const backend_role told = present_role(server);
        const auto known = memory.reported.emplace(server.id, told).first;
        is_changed = is_changed || known->second != told;
        known->second = told;
    }
    return is_changed;
}

const backend_row* least_busy(const order_cell& cell, backend_role giving) {
    const backend_row* best = nullptr;
    for (const backend_row& server : cell.plan.engines) {
        if (!takes_work(server) || present_role(server) != giving) {
            continue;
        }
        if (best == nullptr || server.load.running < best->load.running) {
            best = &server;
        }
    }
    return best;
}

bool checks_fencing(const order_cell& cell, const service_map& services, const backend_id& engine) {
    const auto desired = desired_in(cell, services);
    const auto found =
        std::find_if(desired.begin(), desired.end(),
                     [&](const orders::desired_engine& one) { return one.id == engine; });
    return found != desired.end() && found->checks_fencing;
}

} // namespace

role_memory begin_roles(time_point now) {
    role_memory fresh;
    fresh.balance.changed_at = now;
    fresh.observed_at = now;
    return fresh;
}

scheduling::role_change_policy role_rule_of(const settings::order_rules& rules) {
    scheduling::role_change_policy rule;
    rule.min_overload_time = rules.pressure_settled;
    rule.min_prefill_overload_time = rules.pressure_settled;
    rule.smoothing = duration{rules.pressure_settled} / smoothings_per_settling;
    rule.min_change_interval = rules.role_change_spacing;
    return rule;
}

void observe_roles(role_memory& memory, const scheduling::role_change_policy& rule,
                   const order_cell& cell, time_point now) {
    if (take_in_roles(memory, cell)) {
        memory.balance.changed_at = now;
    }
    memory.balance.prefill_engines = count_in(cell, backend_role::prefill);
    memory.balance.decode_engines = count_in(cell, backend_role::decode);
    const duration since_last = now - memory.observed_at;
    scheduling::observe_utilization(memory.balance, rule, cell.use.prefill, cell.use.decode,
                                    since_last, now);
    memory.observed_at = now;
}

std::optional<orders::order> role_order(const role_memory& memory,
                                        const scheduling::role_change_policy& rule,
                                        const order_cell& cell, const service_map& services,
                                        time_point now) {
    const auto wanted = scheduling::decide_role_change(memory.balance, rule, now);
    if (!wanted) {
        return std::nullopt;
    }
    const bool is_prefill = *wanted == backend_role::prefill;
    const backend_row* chosen =
        least_busy(cell, is_prefill ? backend_role::decode : backend_role::prefill);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    orders::order prepared;
    prepared.engine = chosen->id;
    prepared.address = to_string(chosen->place);
    prepared.kind = orders::order_kind::set_role;
    prepared.model = cell.plan.model;
    prepared.role = *wanted;
    prepared.checks_fencing = checks_fencing(cell, services, chosen->id);
    return prepared;
}

} // namespace cicadahatch::serving
