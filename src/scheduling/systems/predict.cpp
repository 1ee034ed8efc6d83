#include "src/scheduling/systems/predict.hpp"

#include "src/scheduling/internal/engine_health.hpp"
#include "src/scheduling/internal/prediction.hpp"
#include "src/scheduling/internal/retry_after.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling::systems {

namespace {

/// Spare capacity that a rank took counts against its floor only up to this part of the most
/// that it can be owed.
constexpr double largest_debt_part = 0.1;

/// Sums over engines that become means.
struct engine_sums {
    double prefill_tokens = 0;
    double prefill_overhead = 0;
    double bytes_per_token = 0;
    double step_seconds = 0;
    bool has_prefill_pool = false;
};

bool is_available(const engine& on) {
    return !on.is_leaving && !on.is_paused && on.health != health::ejected;
}

bool is_prefill_pool(const engine& on) {
    return is_available(on) && on.spec.role == backend_role::prefill &&
           on.spec.prefill_tokens_per_second > 0;
}

void add_prefill(const engine& on, cell_capacity& capacity, engine_sums& sums) {
    ++capacity.prefill_engines;
    sums.prefill_tokens += on.spec.prefill_tokens_per_second / on.prefill_scale;
    sums.prefill_overhead += internal::to_seconds(on.spec.prefill_overhead) * on.prefill_scale;
}

/// Streams that an engine runs at once: its slots, or as many as its memory holds of the usual
/// size, each at half of its output on average.
double usable_slots(const engine& on, const cell_policy& policy, const cell_capacity& usual) {
    const double tokens = usual.mean_prompt_tokens + usual.mean_output_tokens / 2;
    if (!policy.forecasts_memory || on.spec.pieces == 0 || tokens <= 0) {
        return on.spec.slots;
    }
    const double memory = static_cast<double>(on.spec.pieces) * on.spec.piece_tokens;
    return std::min<double>(on.spec.slots, memory / tokens);
}

void add_decode(const engine& on, const cell_policy& policy, const cell_capacity& usual,
                cell_capacity& capacity, engine_sums& sums) {
    const double used = on.streams + on.foreign_streams;
    const double slots = usable_slots(on, policy, usual);
    capacity.slots += slots;
    capacity.free_slots += std::max(0.0, slots - used);
    sums.bytes_per_token += on.spec.kv_bytes_per_token;
    sums.step_seconds += internal::step_seconds(on, static_cast<std::uint32_t>(slots));
    ++capacity.decode_engines;
}

double mean_link_rate(const cell_state& state) {
    double rates = 0;
    for (const link& line : state.links.rows()) {
        rates += line.bytes_per_second;
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
    sums.has_prefill_pool = std::any_of(engines.begin(), engines.end(), is_prefill_pool);
    for (const engine& on : engines) {
        if (!is_available(on)) {
            continue;
        }
        capacity.is_plain = capacity.is_plain || on.spec.role == backend_role::plain;
        ++capacity.engine_seconds;
        const bool prefills =
            sums.has_prefill_pool ? is_prefill_pool(on) : on.spec.prefill_tokens_per_second > 0;
        if (prefills) {
            add_prefill(on, capacity, sums);
        }
        if (on.spec.role != backend_role::prefill) {
            add_decode(on, policy, state.capacity, capacity, sums);
        }
    }
    fill_means(state, sums, capacity);
    capacity.mean_slot_seconds = state.capacity.mean_slot_seconds;
    capacity.mean_prompt_tokens = state.capacity.mean_prompt_tokens;
    capacity.mean_output_tokens = state.capacity.mean_output_tokens;
    return capacity;
}

/// \returns what a floor that earns at a rate is owed later; nothing while its work does not wait
double aged_credit(double credit, double owed_rate, double elapsed, const work_amount& waiting) {
    if (waiting.requests == 0) {
        return 0;
    }
    const double largest = internal::largest_credit(owed_rate);
    return std::clamp(credit + owed_rate * elapsed, -largest * largest_debt_part, largest);
}

void update_levels(service_queue& service, const cell_state& state, double elapsed, double decay) {
    for (auto& [number, level] : service.levels) {
        level.usage *= decay;
        const double rate = internal::owed_rate(state, service, number);
        level.credit = aged_credit(level.credit, rate, elapsed, level.waiting);
    }
}

void update_rank(rank_queue& queue, const cell_state& state, const cell_policy& policy,
                 double elapsed) {
    const double decay = std::exp(-elapsed / internal::to_seconds(usage_window));
    queue.usage *= decay;
    for (service_queue& service : queue.services.rows()) {
        update_levels(service, state, elapsed, decay);
    }
    const double rate = internal::owed_rate(state, policy, queue);
    queue.credit = aged_credit(queue.credit, rate, elapsed, queue.waiting);
}

/// Load of others that no report confirms any more must not close an engine for good.
void forget_old_reports(cell_state& state, time_point now) {
    for (engine& on : state.engines.rows()) {
        if (now - on.reported_at > stream_memory) {
            on.foreign_streams = 0;
            on.foreign_pieces = 0;
            on.foreign_tokens = 0;
        }
    }
}

} // namespace

void predict(cell_state& state, const cell_policy& policy, time_point now) {
    forget_old_reports(state, now);
    internal::review_health(state, policy, now);
    state.capacity = measure_capacity(state, policy);
    const double elapsed = internal::to_seconds(now - state.last_tick);
    internal::age_demand(state, elapsed, now);
    for (rank_queue& queue : state.ranks) {
        update_rank(queue, state, policy, elapsed);
    }
}

} // namespace cicadahatch::scheduling::systems
