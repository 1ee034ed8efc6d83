#include "src/gateway/cell_configuration.hpp"

namespace cicadahatch::gateway {

namespace {

using namespace std::chrono_literals;

/// KV cache block size of the platform's engines, in tokens.
constexpr std::uint32_t block_tokens = 16;

/// Initial estimates for an engine. The home corrects them per engine by up to a factor of 20,
/// starting with its first prefills and streams.
constexpr double initial_prefill_rate = 50'000;
constexpr duration initial_prefill_overhead = 5ms;
constexpr duration initial_step = 700us;
constexpr duration initial_step_per_stream = 20us;

/// A decode engine prefills at half the speed of a prefill engine.
constexpr double decode_prefill_share = 0.5;

/// Shares of the engines reserved under overload for requests that can no longer meet their
/// objective, and for each priority level below a service's first. They prevent starvation.
constexpr double late_request_floor = 0.05;
constexpr double level_floor = 0.05;

/// Streams that may be starting at an engine that is new or has recovered: one that is read in, and
/// one that waits for it.
constexpr std::uint32_t initial_engine_starts = 2;

scheduling::engine_spec to_engine_spec(const discovery::backend& engine,
                                       const routing::engine_traits& traits, bool starts_slowly) {
    scheduling::engine_spec spec;
    spec.id = engine.id;
    spec.role = engine.role;
    spec.started = engine.started;
    spec.initial_starts = starts_slowly ? initial_engine_starts : 0;
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
        topology.engines.push_back(to_engine_spec(*engine, *traits, state.options.paces_servers));
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
    // Running out of memory stalls all streams of an engine, about a dozen, for the sake of one
    // more. The forecast is repeated for each of about a dozen admissions while a stream runs.
    policy.memory_confidence = 3.0;
    policy.local_prefill_tokens = 0;
    // One or two of a dozen streams. Deferrable requests, and retries that are too late for their
    // objective, must not fill an engine for seconds while urgent requests arrive.
    policy.urgent_reserve = 0.2;
    policy.owner_timeout = 1500ms;
    policy.max_hold_time = 60ms;
    // With three failure domains, a partitioned one reaches a third of the engines.
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
    // The effect of a change is observed for as long as the change took.
    policy.min_change_interval = 2 * change_time;
    return policy;
}

} // namespace cicadahatch::gateway
