#include "src/scheduling/systems/predict.hpp"

#include "src/scheduling/internal/engine_health.hpp"
#include "src/scheduling/internal/prediction.hpp"
#include "src/scheduling/internal/retry_after.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling::systems {

namespace {

/// Limit of negative credit, as a fraction of the maximum credit. Spare capacity that a rank used
/// counts against its floor only up to this limit.
constexpr double max_debt_fraction = 0.1;

/// Sums over engines, used to compute means.
struct engine_sums {
    double prefill_tokens = 0;
    double prefill_overhead = 0;
    double bytes_per_token = 0;
    double step_seconds = 0;
    bool has_prefill_pool = false;
};

bool is_available(const engine& instance) {
    return !instance.is_leaving && !instance.is_paused && instance.health != health::ejected;
}

bool is_prefill_engine(const engine& instance) {
    return is_available(instance) && instance.spec.role == backend_role::prefill &&
           instance.spec.prefill_tokens_per_second > 0;
}

void add_prefill(const engine& instance, cell_capacity& capacity, engine_sums& sums) {
    ++capacity.prefill_engines;
    sums.prefill_tokens += instance.spec.prefill_tokens_per_second / instance.prefill_scale;
    sums.prefill_overhead +=
        internal::to_seconds(instance.spec.prefill_overhead) * instance.prefill_scale;
}

/// Number of concurrent streams: the engine's slots, or fewer if its memory holds fewer streams of
/// mean size. A stream has half of its output in memory on average.
double usable_slots(const engine& instance, const cell_policy& policy,
                    const cell_capacity& previous) {
    const double tokens = previous.mean_prompt_tokens + previous.mean_output_tokens / 2;
    if (!policy.forecasts_memory || instance.spec.pieces == 0 || tokens <= 0) {
        return instance.spec.slots;
    }
    const double memory = static_cast<double>(instance.spec.pieces) * instance.spec.piece_tokens;
    return std::min<double>(instance.spec.slots, memory / tokens);
}

void add_decode(const engine& instance, const cell_policy& policy, const cell_capacity& previous,
                cell_capacity& capacity, engine_sums& sums) {
    const double used = instance.streams + instance.foreign_streams;
    const double slots = usable_slots(instance, policy, previous);
    capacity.slots += slots;
    capacity.free_slots += std::max(0.0, slots - used);
    sums.bytes_per_token += instance.spec.kv_bytes_per_token;
    sums.step_seconds += internal::step_seconds(instance, static_cast<std::uint32_t>(slots));
    ++capacity.decode_engines;
}

double mean_link_rate(const cell_state& state) {
    double rates = 0;
    for (const link& each : state.links.rows()) {
        rates += each.bytes_per_second;
    }
    return state.links.empty() ? 0 : rates / static_cast<double>(state.links.size());
}

void fill_means(const cell_state& state, const engine_sums& sums, cell_capacity& capacity) {
    if (capacity.prefill_engines > 0) {
        capacity.prefill_tokens_per_second = sums.prefill_tokens / capacity.prefill_engines;
        capacity.prefill_overhead_seconds = sums.prefill_overhead / capacity.prefill_engines;
    }
    if (capacity.decode_engines > 0) {
        capacity.step_seconds = sums.step_seconds / capacity.decode_engines;
    }
    const double rate = mean_link_rate(state);
    if (sums.has_prefill_pool && rate > 0 && capacity.decode_engines > 0) {
        capacity.transfer_seconds_per_token = sums.bytes_per_token / capacity.decode_engines / rate;
    }
}

cell_capacity measure_capacity(const cell_state& state, const cell_policy& policy) {
    cell_capacity capacity;
    engine_sums sums;
    const auto& engines = state.engines.rows();
    sums.has_prefill_pool = std::any_of(engines.begin(), engines.end(), is_prefill_engine);
    for (const engine& instance : engines) {
        if (!is_available(instance)) {
            continue;
        }
        capacity.is_plain = capacity.is_plain || instance.spec.role == backend_role::plain;
        ++capacity.engine_seconds;
        const bool prefills = sums.has_prefill_pool ? is_prefill_engine(instance)
                                                    : instance.spec.prefill_tokens_per_second > 0;
        if (prefills) {
            add_prefill(instance, capacity, sums);
        }
        if (instance.spec.role != backend_role::prefill) {
            add_decode(instance, policy, state.capacity, capacity, sums);
        }
    }
    fill_means(state, sums, capacity);
    capacity.mean_slot_seconds = state.capacity.mean_slot_seconds;
    capacity.mean_prompt_tokens = state.capacity.mean_prompt_tokens;
    capacity.mean_output_tokens = state.capacity.mean_output_tokens;
    return capacity;
}

/// \returns the credit of a floor after the elapsed time; zero if nothing waits
double updated_credit(double credit, double floor_rate, double elapsed,
                      const work_amount& waiting) {
    if (waiting.requests == 0) {
        return 0;
    }
    const double largest = internal::max_credit(floor_rate);
    return std::clamp(credit + floor_rate * elapsed, -largest * max_debt_fraction, largest);
}

void update_levels(service_queue& service, const cell_state& state, double elapsed, double decay) {
    for (auto& [number, level] : service.levels) {
        level.usage *= decay;
        const double rate = internal::floor_rate(state, service, number);
        level.credit = updated_credit(level.credit, rate, elapsed, level.waiting);
    }
}

void update_rank(rank_queue& queue, const cell_state& state, const cell_policy& policy,
                 double elapsed) {
    const double decay = std::exp(-elapsed / internal::to_seconds(usage_window));
    queue.usage *= decay;
    for (service_queue& service : queue.services.rows()) {
        update_levels(service, state, elapsed, decay);
    }
    const double rate = internal::floor_rate(state, policy, queue);
    queue.credit = updated_credit(queue.credit, rate, elapsed, queue.waiting);
}

/// Clears external load without recent reports, so that it can't block an engine forever.
void clear_stale_reports(cell_state& state, time_point now) {
    for (engine& instance : state.engines.rows()) {
        if (now - instance.reported_at > stream_history) {
            instance.foreign_streams = 0;
            instance.foreign_pieces = 0;
            instance.foreign_tokens = 0;
        }
    }
}

} // namespace

void predict(cell_state& state, const cell_policy& policy, time_point now) {
    clear_stale_reports(state, now);
    internal::update_health(state, policy, now);
    state.capacity = measure_capacity(state, policy);
    const double elapsed = internal::to_seconds(now - state.last_tick);
    internal::decay_demand(state, elapsed, now);
    for (rank_queue& queue : state.ranks) {
        update_rank(queue, state, policy, elapsed);
    }
}

} // namespace cicadahatch::scheduling::systems
