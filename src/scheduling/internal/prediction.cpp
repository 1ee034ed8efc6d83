#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling::internal {

namespace {

constexpr double best_effort_factor = 2.0;
constexpr double min_fraction = 0.01;
constexpr double max_credit_seconds = 3.0;

double link_rate(const cell_state& state, const link_id& id) {
    const link* found = state.links.find(id);
    return found == nullptr ? 0 : found->bytes_per_second;
}

} // namespace

work_amount request_work(const waiting_request& request) noexcept {
    return {request.prefill_seconds, request.slot_seconds, 1};
}

void add_work(work_amount& to, const work_amount& added) noexcept {
    to.prefill_seconds += added.prefill_seconds;
    to.slot_seconds += added.slot_seconds;
    to.requests += added.requests;
}

void remove_work(work_amount& from, const work_amount& removed) noexcept {
    from.requests -= std::min(from.requests, removed.requests);
    if (from.requests == 0) {
        from = {};
        return;
    }
    from.prefill_seconds = std::max(from.prefill_seconds - removed.prefill_seconds, 0.0);
    from.slot_seconds = std::max(from.slot_seconds - removed.slot_seconds, 0.0);
}

double prefill_seconds(const engine& instance, std::uint32_t tokens) noexcept {
    if (instance.spec.prefill_tokens_per_second <= 0) {
        return 0;
    }
    const double computing = tokens / instance.spec.prefill_tokens_per_second;
    return (to_seconds(instance.spec.prefill_overhead) + computing) * instance.prefill_scale;
}

double step_seconds(const engine& instance, std::uint32_t streams) noexcept {
    const duration step = instance.spec.step_base + instance.spec.step_per_stream * streams;
    return to_seconds(step) * instance.step_scale;
}

double transfer_seconds(const cell_state& state, const engine& from, const engine& to,
                        std::uint32_t tokens) {
    if (from.id == to.id) {
        return 0;
    }
    double slowest = 0;
    for (const link_id& id : {from.spec.link, to.spec.link}) {
        const double rate = id.empty() ? 0 : link_rate(state, id);
        if (rate > 0 && (slowest <= 0 || rate < slowest)) {
            slowest = rate;
        }
    }
    const double bytes = static_cast<double>(tokens) * to.spec.kv_bytes_per_token;
    return slowest > 0 ? bytes / slowest : 0;
}

std::uint32_t pieces_needed(const engine& instance, const cell_policy& policy,
                            const request_spec& spec) noexcept {
    const double output = spec.expected_output_tokens * policy.output_headroom;
    const double tokens = spec.prompt_tokens + output;
    const double per_piece = std::max<std::uint32_t>(instance.spec.piece_tokens, 1);
    return static_cast<std::uint32_t>(std::ceil(tokens / per_piece));
}

duration usable_target(const waiting_request& request, const cell_policy& policy) {
    const double needed = to_seconds(request.minimum_time) * (1 + policy.target_margin);
    const double target = to_seconds(request.spec.first_token);
    return from_seconds(needed <= target ? target : needed * best_effort_factor);
}

double engine_seconds(const cell_state& state, double prefill_seconds,
                      double slot_seconds) noexcept {
    const cell_capacity& capacity = state.capacity;
    const double slots_per_engine =
        capacity.decode_engines > 0 ? capacity.slots / capacity.decode_engines : 1;
    return prefill_seconds + slot_seconds / std::max(slots_per_engine, 1.0);
}

double expected_cost(const cell_state& state, const waiting_request& request) noexcept {
    return engine_seconds(state, request.prefill_seconds, request.slot_seconds);
}

double floor_rate(const cell_state& state, const cell_policy& policy,
                  const rank_queue& queue) noexcept {
    return queue.floor * policy.floor_margin * state.capacity.engine_seconds;
}

double floor_rate(const cell_state& state, const service_queue& service,
                  std::uint8_t level) noexcept {
    const bool is_first = service.levels.empty() || level == service.levels.begin()->first;
    return is_first ? 0 : service.level_floor * state.capacity.engine_seconds;
}

double max_credit(double floor_rate) noexcept {
    return floor_rate * max_credit_seconds;
}

bool has_enough_credit(const cell_state& state, double credit, double floor_rate,
                       const waiting_request& next) noexcept {
    return credit >= std::min(expected_cost(state, next), max_credit(floor_rate));
}

void predict_request(const cell_state& state, const cell_policy& policy, waiting_request& request) {
    const cell_capacity& typical = state.capacity;
    const request_spec& spec = request.spec;
    request.prefill_seconds = 0;
    if (typical.prefill_tokens_per_second > 0) {
        request.prefill_seconds = typical.prefill_overhead_seconds +
                                  spec.prompt_tokens / typical.prefill_tokens_per_second;
    }
    const auto observed = state.output_scale.find(spec.service);
    const double scale = observed == state.output_scale.end() ? 1 : observed->second;
    request.slot_seconds = spec.expected_output_tokens * scale * typical.step_seconds;
    const double transfer = typical.transfer_seconds_per_token * spec.prompt_tokens;
    request.minimum_time = from_seconds(request.prefill_seconds + transfer + typical.step_seconds);
    const double needed = to_seconds(request.minimum_time) * (1 + policy.target_margin);
    const duration reserve = from_seconds(needed) + policy.control_delay;
    request.latest_start = spec.arrived + usable_target(request, policy) - reserve;
}

double rank_fraction(const cell_state& state, rank work_rank) {
    const rank_queue& urgent = state.ranks[rank_index(rank::urgent)];
    const rank_queue& deferrable = state.ranks[rank_index(rank::deferrable)];
    if (work_rank == rank::urgent) {
        const double kept = deferrable.waiting.requests > 0 ? deferrable.floor : 0;
        return std::max(1 - kept, min_fraction);
    }
    return std::max({1 - urgent.usage, deferrable.floor, min_fraction});
}

double level_fraction(const cell_state& state, const request_spec& spec) {
    const double fraction = rank_fraction(state, spec.rank);
    const service_queue* service = state.ranks[rank_index(spec.rank)].services.find(spec.service);
    if (service == nullptr) {
        return fraction;
    }
    double used = 0;
    for (auto row = service->levels.begin(); row != service->levels.lower_bound(spec.level);
         ++row) {
        used += row->second.usage;
    }
    const bool is_first = used <= 0;
    return is_first ? fraction : std::max({fraction - used, service->level_floor, min_fraction});
}

work_amount work_ahead(const cell_state& state, const request_spec& spec) {
    const rank_queue& queue = state.ranks[rank_index(spec.rank)];
    work_amount before = queue.waiting;
    const service_queue* service = queue.services.find(spec.service);
    if (service == nullptr) {
        return before;
    }
    for (auto row = service->levels.upper_bound(spec.level); row != service->levels.end(); ++row) {
        remove_work(before, row->second.waiting);
    }
    return before;
}

double predicted_wait_seconds(const cell_state& state, double fraction, const work_amount& ahead) {
    const cell_capacity& capacity = state.capacity;
    const double prefill_wait = capacity.prefill_engines > 0
                                    ? ahead.prefill_seconds / (capacity.prefill_engines * fraction)
                                    : 0;
    const double beyond_free =
        std::max(ahead.slot_seconds - capacity.free_slots * capacity.mean_slot_seconds, 0.0);
    const double slot_wait = capacity.slots > 0 ? beyond_free / (capacity.slots * fraction) : 0;
    return std::max(prefill_wait, slot_wait);
}

double predicted_wait_seconds(const cell_state& state, const request_spec& spec,
                              const work_amount& team_ahead, double team_fraction) {
    const double rank_fraction_of_team = std::max(team_fraction, min_fraction);
    work_amount ahead = work_ahead(state, spec);
    ahead.prefill_seconds =
        std::min(ahead.prefill_seconds, team_ahead.prefill_seconds / rank_fraction_of_team);
    ahead.slot_seconds =
        std::min(ahead.slot_seconds, team_ahead.slot_seconds / rank_fraction_of_team);
    return predicted_wait_seconds(state, level_fraction(state, spec), ahead);
}

} // namespace cicadahatch::scheduling::internal
