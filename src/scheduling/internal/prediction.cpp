#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling::internal {

namespace {

constexpr double best_effort_stretch = 2.0;
constexpr double smallest_part = 0.01;
constexpr double credit_seconds = 3.0;

double rate_of(const cell_state& state, const link_id& id) {
    const link* found = state.links.find(id);
    return found == nullptr ? 0 : found->bytes_per_second;
}

/// The part of the cell that a rank can count on while the other rank has work too.
double rank_part(const cell_state& state, rank of) {
    const rank_queue& urgent = state.ranks[rank_index(rank::urgent)];
    const rank_queue& deferrable = state.ranks[rank_index(rank::deferrable)];
    if (of == rank::urgent) {
        const double kept = deferrable.waiting.requests > 0 ? deferrable.floor : 0;
        return std::max(1 - kept, smallest_part);
    }
    return std::max({1 - urgent.usage, deferrable.floor, smallest_part});
}

} // namespace

double prefill_seconds(const engine& on, std::uint32_t tokens) noexcept {
    if (on.spec.prefill_tokens_per_second <= 0) {
        return 0;
    }
    const double computing = tokens / on.spec.prefill_tokens_per_second;
    return (to_seconds(on.spec.prefill_overhead) + computing) * on.prefill_scale;
}

double step_seconds(const engine& on, std::uint32_t streams) noexcept {
    const duration step = on.spec.step_base + on.spec.step_per_stream * streams;
    return to_seconds(step) * on.step_scale;
}

double transfer_seconds(const cell_state& state, const engine& from, const engine& to,
                        std::uint32_t tokens) {
    if (from.id == to.id) {
        return 0;
    }
    double slowest = 0;
    for (const link_id& id : {from.spec.link, to.spec.link}) {
        const double rate = id.empty() ? 0 : rate_of(state, id);
        if (rate > 0 && (slowest <= 0 || rate < slowest)) {
            slowest = rate;
        }
    }
    const double bytes = static_cast<double>(tokens) * to.spec.kv_bytes_per_token;
    return slowest > 0 ? bytes / slowest : 0;
}

std::uint32_t pieces_needed(const engine& on, const cell_policy& policy,
                            const request_spec& spec) noexcept {
    const double answer = spec.expected_output_tokens * policy.output_growth;
    const double tokens = spec.prompt_tokens + answer;
    const double per_piece = std::max<std::uint32_t>(on.spec.piece_tokens, 1);
    return static_cast<std::uint32_t>(std::ceil(tokens / per_piece));
}

duration usable_target(const waiting_request& request, const cell_policy& policy) {
    const double needed = to_seconds(request.minimum_time) * (1 + policy.target_margin);
    const double target = to_seconds(request.spec.first_token);
    return from_seconds(needed <= target ? target : needed * best_effort_stretch);
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

double owed_rate(const cell_state& state, const cell_policy& policy,
                 const rank_queue& queue) noexcept {
    return queue.floor * policy.floor_margin * state.capacity.engine_seconds;
}

double largest_credit(const cell_state& state, const cell_policy& policy,
                      const rank_queue& queue) noexcept {
    return owed_rate(state, policy, queue) * credit_seconds;
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

double predicted_wait_seconds(const cell_state& state, rank of, const work_amount& team_ahead,
                              double team_part) {
    const cell_capacity& capacity = state.capacity;
    const work_amount& all = state.ranks[rank_index(of)].waiting;
    const double part = std::max(team_part, smallest_part);
    const double prefill_ahead = std::min(all.prefill_seconds, team_ahead.prefill_seconds / part);
    const double slots_ahead = std::min(all.slot_seconds, team_ahead.slot_seconds / part);
    const double share = rank_part(state, of);
    const double prefill_wait =
        capacity.prefill_engines > 0 ? prefill_ahead / (capacity.prefill_engines * share) : 0;
    const double beyond_free =
        std::max(slots_ahead - capacity.free_slots * capacity.mean_slot_seconds, 0.0);
    const double slot_wait = capacity.slots > 0 ? beyond_free / (capacity.slots * share) : 0;
    return std::max(prefill_wait, slot_wait);
}

} // namespace cicadahatch::scheduling::internal
