#include "src/forwarding/gateway_state.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

scheduling::retry_budget& retries_of(gateway_state& state, const service_id& service) {
    const auto found = state.retries.find(service);
    if (found != state.retries.end()) {
        return found->second;
    }
    const auto share = scheduling::budget_share(state.options.retry_ratio,
                                                state.options.retry_extra, state.daemon_count);
    return state.retries.emplace(service, share).first->second;
}

void set_daemon_count(gateway_state& state, std::size_t daemons) {
    state.daemon_count = std::max<std::size_t>(1, daemons);
    for (auto& [service, budget] : state.retries) {
        const double saved = budget.tokens;
        budget = scheduling::budget_share(state.options.retry_ratio, state.options.retry_extra,
                                          state.daemon_count);
        budget.tokens = std::min(saved, budget.max_tokens);
    }
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

bool is_available(gateway_state& state, const discovery::backend& to) {
    const auto& load = balancing::load_of(state.loads, to.id, to.started);
    return !to.is_draining && load.backoff_until <= state.time.now();
}

std::vector<const discovery::backend*> usable_backends(gateway_state& state,
                                                       const service_id& service) {
    auto open = state.backends.available_backends(service);
    std::erase_if(open, [&state](const auto* row) { return !is_available(state, *row); });
    return open;
}

std::vector<backend_id> spared_backends(gateway_state& state, const service_id& service) {
    std::vector<backend_id> spared;
    for (const discovery::backend* row : state.backends.available_backends(service)) {
        if (!is_available(state, *row)) {
            spared.push_back(row->id);
        }
    }
    return spared;
}

balancing::selection_context inputs_of(gateway_state& state) {
    return {state.loads, state.random, state.domain, state.time.now()};
}

} // namespace cicadahatch::forwarding
