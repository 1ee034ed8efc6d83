#include "src/forwarding/gateway_state.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

void end_evicted(gateway_state& state, const std::vector<reading_id>& evicted) {
    for (const reading_id id : evicted) {
        const auto handler = state.eviction_handlers.find(id);
        if (handler != state.eviction_handlers.end()) {
            const auto end_connection = std::move(handler->second);
            state.eviction_handlers.erase(handler);
            end_connection();
        }
    }
    if (evicted.empty()) {
        return;
    }
    state.metric_registry
        .counter_of(metrics::metric_name{"cicadahatch_readings_evicted_total"},
                    "Requests ended while they were being read, as memory or connections ran out")
        .add(evicted.size());
    state.log.write(logging::weight::notable, "callers.evicted",
                    {{"readings", evicted.size()},
                     {"being_read_bytes", state.memory.read},
                     {"held_bytes", state.memory.held},
                     {"limit_bytes", state.memory.limit}});
}

} // namespace

bool apply_grant(gateway_state& state, const memory_grant& grant) {
    end_evicted(state, grant.evicted);
    return grant.is_granted;
}

bool end_stalled_caller(gateway_state& state) {
    const auto evicted = evict_stalled(state.memory, state.time.now());
    end_evicted(state, evicted);
    return !evicted.empty();
}

scheduling::retry_budget& retry_budget_of(gateway_state& state, const service_id& service) {
    const auto found = state.retry_budgets.find(service);
    if (found != state.retry_budgets.end()) {
        return found->second;
    }
    const auto share = scheduling::budget_share(state.options.retry_ratio,
                                                state.options.retry_extra, state.daemons.value);
    return state.retry_budgets.emplace(service, share).first->second;
}

void update_retry_budgets(gateway_state& state) {
    for (auto& [service, budget] : state.retry_budgets) {
        const double old_tokens = budget.tokens;
        budget = scheduling::budget_share(state.options.retry_ratio, state.options.retry_extra,
                                          state.daemons.value);
        budget.tokens = std::min(old_tokens, budget.max_tokens);
    }
}

void record_registered_daemons(gateway_state& state, std::size_t registered) {
    scheduling::record_daemons(state.daemons, registered, state.time.now());
    update_retry_budgets(state);
}

void tick_daemon_count(gateway_state& state) {
    if (!scheduling::update_daemon_count(state.daemons, state.time.now())) {
        return;
    }
    update_retry_budgets(state);
    state.log.write(logging::weight::notable, "daemons.shares", {{"daemons", state.daemons.value}});
}

bool mark_leaving(gateway_state& state, const backend_id& id, incarnation started) {
    std::vector<discovery::directory_change> changes;
    if (!state.backends.mark_leaving(id, started, changes)) {
        return false;
    }
    state.connections.close_all(id);
    state.log.write(logging::weight::notable, "backend.leaving",
                    {{"backend", id.str()}, {"started", started.value()}});
    return true;
}

void charge_request_limit(gateway_state& state, const discovery::backend& target) {
    auto& load = balancing::load_of(state.loads, target.id, target.started);
    if (load.limit) {
        balancing::charge_request(*load.limit, state.daemons.value, state.time.now());
    }
}

duration time_until_available(gateway_state& state, const discovery::backend& target) {
    auto& load = balancing::load_of(state.loads, target.id, target.started);
    const time_point now = state.time.now();
    const duration backoff = std::max(duration{0}, load.backoff_until - now);
    return load.limit ? std::max(backoff, balancing::time_until_allowed(*load.limit,
                                                                        state.daemons.value, now))
                      : backoff;
}

bool is_available(gateway_state& state, const discovery::backend& target) {
    return !target.is_draining && time_until_available(state, target) == duration{0};
}

std::vector<const discovery::backend*> available_backends(gateway_state& state,
                                                          const service_id& service) {
    auto available = state.backends.available_backends(service);
    std::erase_if(available,
                  [&state](const auto* backend) { return !is_available(state, *backend); });
    return available;
}

std::vector<backend_id> unavailable_backends(gateway_state& state, const service_id& service) {
    std::vector<backend_id> excluded;
    for (const discovery::backend* backend : state.backends.available_backends(service)) {
        if (!is_available(state, *backend)) {
            excluded.push_back(backend->id);
        }
    }
    return excluded;
}

balancing::selection_context make_selection_context(gateway_state& state) {
    return {state.loads, state.random, state.domain, state.time.now()};
}

} // namespace cicadahatch::forwarding
