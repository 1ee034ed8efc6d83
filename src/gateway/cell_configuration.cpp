#include "src/gateway/cell_configuration.hpp"

namespace cicadahatch::gateway {

namespace {

using namespace std::chrono_literals;

/// Engines of the platform hand out memory in blocks of this many tokens.
constexpr std::uint32_t block_tokens = 16;

/// Assumed of an engine until it has been observed; the home corrects each engine's figures by up
/// to a factor of 20 from its first prefills and streams on.
constexpr double initial_prefill_rate = 50'000;
constexpr duration initial_prefill_overhead = 5ms;
constexpr duration initial_step = 700us;
constexpr duration initial_step_per_stream = 20us;

/// A decode engine reads prompts at half of a prefill engine's speed.
constexpr double decode_prefill_share = 0.5;

/// Parts of the engines kept, while other work floods in, for requests that can't be on time any
/// more, and for each level of priority behind a service's first: no level is starved.
constexpr double late_request_floor = 0.05;
constexpr double level_floor = 0.05;

scheduling::engine_spec to_engine_spec(const discovery::backend& engine,
                                       const routing::engine_traits& traits) {
    scheduling::engine_spec spec;
    spec.id = engine.id;
    spec.role = engine.role;
    spec.started = engine.started;
    spec.slots = engine.slots;
    spec.pieces = traits.kv_tokens / block_tokens;
    spec.piece_tokens = block_tokens;
    spec.kv_bytes_per_token = traits.kv_bytes_per_token;
    spec.step_base = initial_step;
    spec.step_per_stream = initial_step_per_stream;
    spec.prefill_overhead = initial_prefill_overhead;
    spec.prefill_tokens_per_second = engine.role == backend_role::prefill
                                         ? initial_prefill_rate
                                         : initial_prefill_rate * decode_prefill_share;
    return spec;
}

} // namespace

cells::cell_topology make_cell_topology(const forwarding::gateway_state& state,
                                        const cell_id& cell) {
    cells::cell_topology topology;
    topology.daemons = state.daemon_ids;
    const service_id id{cell.str()};
    const routing::engine_traits* traits = state.table ? state.table->find_traits(id) : nullptr;
    if (traits == nullptr) {
        return topology;
    }
    for (const discovery::backend* engine : state.backends.available_backends(id)) {
        topology.engines.push_back(to_engine_spec(*engine, *traits));
    }
    scheduling::service_spec service;
    service.id = id;
    service.deferrable.floor = late_request_floor;
    service.urgent.level_floor = level_floor;
    service.deferrable.level_floor = level_floor;
    topology.services.push_back(service);
    return topology;
}

scheduling::cell_policy gateway_policy() {
    scheduling::cell_policy policy;
    policy.forecasts_memory = true;
    // Memory that runs out stalls all of an engine's streams, about a dozen, for one more stream;
    // the look ahead is repeated for each of a dozen admissions while a stream runs.
    policy.memory_confidence = 3.0;
    policy.local_prefill_tokens = 0;
    // One or two of a dozen streams: what is not urgent, and what comes back too late for its
    // objective, must not fill an engine for seconds while urgent requests keep coming.
    policy.urgent_reserve = 0.2;
    policy.owner_timeout = 1500ms;
    policy.max_hold_time = 60ms;
    // A zone of three that is cut off reaches a third of the engines.
    policy.max_ejected_share = 0.7;
    policy.ejection_failures = 2;
    policy.base_ejection_time = 1s;
    policy.max_ejection_time = 4s;
    policy.registration_window = 300ms;
    policy.min_retry_after = 300ms;
    policy.max_retry_after = 4s;
    return policy;
}

scheduling::role_change_policy gateway_role_change_policy(std::chrono::milliseconds change_time) {
    scheduling::role_change_policy policy;
    policy.balances_pools = true;
    policy.smoothing = 3s;
    policy.min_overload_time = 1s;
    policy.min_prefill_overload_time = 2 * change_time;
    policy.min_empty_pool_time = change_time;
    // The effect of a change has been seen for as long as the change took.
    policy.min_change_interval = 2 * change_time;
    return policy;
}

} // namespace cicadahatch::gateway
