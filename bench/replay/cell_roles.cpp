#include "bench/replay/cell_roles.hpp"

#include "bench/replay/cell_engines.hpp"
#include "cicadahatch/scheduling"

#include <vector>

namespace cicadahatch::replay {

namespace {

/// What the engines of one role offer and use.
struct pool {
    std::uint32_t engines = 0;
    double used = 0;
    double offered = 0;
};

bool is_healthy(const scheduling::engine& on) {
    return !on.is_leaving && !on.is_paused && on.health == scheduling::health::healthy;
}

double use_of(const pool& measured) {
    return measured.offered > 0 ? measured.used / measured.offered : 0;
}

pool prefill_pool(const scheduling::cell_state& state) {
    pool measured;
    for (const scheduling::engine& on : state.engines.rows()) {
        if (on.spec.role == backend_role::prefill && is_healthy(on)) {
            ++measured.engines;
            measured.used += on.prefills > 0 ? 1 : 0;
            measured.offered += 1;
        }
    }
    return measured;
}

pool decode_pool(const scheduling::cell_state& state) {
    pool measured;
    for (const scheduling::engine& on : state.engines.rows()) {
        if (on.spec.role == backend_role::decode && is_healthy(on)) {
            ++measured.engines;
            measured.used += on.streams + on.foreign_streams;
            measured.offered += on.spec.slots;
        }
    }
    return measured;
}

void observe(const scheduling::cell_state& state, cell_roles& roles, time_point now) {
    const pool prefills = prefill_pool(state);
    const pool decodes = decode_pool(state);
    roles.balance.prefill_engines = prefills.engines;
    roles.balance.decode_engines = decodes.engines;
    scheduling::observe_utilization(roles.balance, roles.rule, use_of(prefills), use_of(decodes),
                                    now - roles.reviewed_at, now);
    roles.reviewed_at = now;
}

std::optional<backend_id> least_busy_decode(const scheduling::cell_state& state) {
    const scheduling::engine* best = nullptr;
    for (const scheduling::engine& on : state.engines.rows()) {
        const bool is_candidate = on.spec.role == backend_role::decode && is_healthy(on);
        if (is_candidate && (best == nullptr || on.streams < best->streams)) {
            best = &on;
        }
    }
    return best == nullptr ? std::nullopt : std::optional{best->id};
}

/// The engine takes work again, in its new role.
void take_over_role(scheduling::cell_state& state, const backend_id& changed, time_point now) {
    std::vector<scheduling::engine_spec> engines;
    for (const scheduling::engine& on : state.engines.rows()) {
        engines.push_back(on.id == changed ? prefill_spec(changed) : on.spec);
    }
    std::vector<scheduling::link_spec> links{link_of(changed)};
    for (const scheduling::link& line : state.links.rows()) {
        links.push_back({line.id, line.bytes_per_second});
    }
    scheduling::set_links(state, links);
    scheduling::set_engines(state, engines, now);
    scheduling::set_paused(state, changed, false);
}

void begin_change(scheduling::cell_state& state, cell_roles& roles, time_point now) {
    // The replay's cells have one prefill engine, so only the other direction can be wanted.
    if (scheduling::decide_role_change(roles.balance, roles.rule, now) != backend_role::prefill) {
        return;
    }
    roles.changing = least_busy_decode(state);
    if (roles.changing) {
        scheduling::set_paused(state, *roles.changing, true);
        roles.balance.changed_at = now;
        roles.is_ordered = false;
    }
}

void order_once_drained(world& in, scheduling::cell_state& state, cell_roles& roles) {
    const backend_id changing = *roles.changing;
    if (roles.is_ordered || state.engines.find(changing)->streams > 0) {
        return;
    }
    roles.is_ordered = true;
    change_to_prefill(in, engine_number(changing), [&in, &state, &roles, changing] {
        take_over_role(state, changing, in.now);
        roles.changing.reset();
    });
}

} // namespace

void review_roles(world& in, scheduling::cell_state& state, cell_roles& roles) {
    observe(state, roles, in.now);
    if (roles.changing) {
        order_once_drained(in, state, roles);
    } else {
        begin_change(state, roles, in.now);
    }
}

} // namespace cicadahatch::replay
