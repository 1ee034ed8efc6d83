#include "src/scheduling/systems/grant.hpp"

#include "src/scheduling/internal/available_engines.hpp"
#include "src/scheduling/internal/cache_view.hpp"
#include "src/scheduling/internal/fair_queue.hpp"
#include "src/scheduling/internal/prediction.hpp"
#include "src/scheduling/internal/refuse.hpp"
#include "src/scheduling/internal/reservation.hpp"
#include "src/scheduling/internal/retry_after.hpp"
#include "src/scheduling/systems/place.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace cicadahatch::scheduling::systems {

namespace {

using internal::to_seconds;

/// Queue heads to skip and available engines during one tick.
struct grant_context {
    internal::skipped_teams skipped;
    internal::available_engines available;
};

/// Result of an attempt to grant the head of a rank's queue.
enum class grant_attempt : std::uint8_t { queue_empty, granted, skipped, blocked };

live_grant make_grant(cell_state& state, const cell_policy& policy, const waiting_request& request,
                      const placement& placed, time_point now) {
    const request_spec& spec = request.spec;
    live_grant held;
    held.id = request.id;
    held.issued.number = state.next_grant_number++;
    held.issued.request = request.id;
    held.issued.owner = spec.owner;
    held.issued.prefill = placed.prefill;
    held.issued.decode = placed.decode;
    held.issued.predicted_first_token = placed.first_token - spec.arrived;
    held.issued.predicted_between_tokens = placed.between_tokens;
    held.issued.pieces = placed.pieces;
    held.issued.expected_cached_tokens = placed.cached_tokens;
    held.service = spec.service;
    held.rank = spec.rank;
    held.granted_at = now;
    held.prefill_begins = placed.prefill_begins;
    held.last_heartbeat = now;
    held.stuck_deadline = now + 2 * (placed.first_token - now) + policy.stuck_margin;
    held.prefill_seconds = placed.prefill_seconds;
    held.slot_seconds = request.slot_seconds;
    held.cost = internal::engine_seconds(state, placed.prefill_seconds, request.slot_seconds);
    held.between_tokens = spec.between_tokens;
    held.prompt_tokens = spec.prompt_tokens;
    held.expected_output_tokens = spec.expected_output_tokens;
    held.output_hint = request.output_hint;
    held.output = request.output;
    held.prefix_hashes = spec.prefix_hashes;
    held.block_tokens = spec.block_tokens;
    return held;
}

void reserve_links(cell_state& state, const placement& placed) {
    if (placed.prefill.empty() || placed.prefill == placed.decode) {
        return;
    }
    for (const backend_id& backend : {placed.prefill, placed.decode}) {
        const link_id& id = state.engines.find(backend)->spec.link;
        link* shared_link = id.empty() ? nullptr : state.links.find(id);
        if (shared_link != nullptr) {
            shared_link->free_at = std::max(shared_link->free_at, placed.transfer_ends);
        }
    }
}

void update_average(double& mean, double value) {
    mean = mean <= 0 ? value : mean + observation_weight * (value - mean);
}

void record_usage(cell_state& state, const live_grant& held, std::uint8_t level) {
    const double window = to_seconds(usage_window) * state.capacity.engine_seconds;
    if (window > 0) {
        rank_queue& queue = state.ranks[rank_index(held.rank)];
        queue.usage += held.cost / window;
        if (service_queue* service = queue.services.find(held.service)) {
            service->levels[level].usage += held.cost / window;
        }
    }
    update_average(state.capacity.mean_slot_seconds, held.slot_seconds);
    update_average(state.capacity.mean_prompt_tokens, held.prompt_tokens);
    update_average(state.capacity.mean_output_tokens, held.expected_output_tokens);
}

void issue_grant(cell_state& state, const cell_policy& policy, const request_id& request,
                 const placement& placed, internal::available_engines& available, time_point now,
                 tick_output& output) {
    const waiting_request granted = internal::dequeue(state, request);
    live_grant held = make_grant(state, policy, granted, placed, now);
    internal::charge(state, granted.spec, held.cost);
    record_usage(state, held, granted.spec.level);
    reserve_links(state, placed);
    if (!placed.prefill.empty()) {
        internal::expect_cached(*state.engines.find(placed.prefill), policy,
                                granted.spec.prefix_hashes);
    }
    output.grants.push_back(held.issued);
    internal::reserve(state, std::move(held), now);
    internal::update_prefill_candidate(available, state, placed.prefill);
}

/// Whether the rank's floor has earned the cost of its next request.
bool has_floor_credit(cell_state& state, const cell_policy& policy, rank work_rank,
                      const internal::skipped_teams& skipped) {
    const rank_queue& queue = state.ranks[rank_index(work_rank)];
    const waiting_request* next = internal::next_request(state, work_rank, skipped);
    if (next == nullptr || queue.floor <= 0) {
        return false;
    }
    const double rate = internal::floor_rate(state, policy, queue);
    return internal::has_enough_credit(state, queue.credit, rate, *next);
}

/// Whether the request is urgent and no higher-priority level had recent requests.
bool has_reserve_priority(const cell_state& state, const cell_policy& policy,
                          const waiting_request& request, time_point now) {
    return request.spec.rank == rank::urgent &&
           !internal::has_recent_higher_level(state, request.spec, policy.reserve_duration, now);
}

grant_attempt try_rank(cell_state& state, const cell_policy& policy, rank work_rank,
                       grant_context& context, time_point now, tick_output& output) {
    const waiting_request* request = internal::next_request(state, work_rank, context.skipped);
    if (request == nullptr) {
        return grant_attempt::queue_empty;
    }
    const bool may_use_reserve = has_reserve_priority(state, policy, *request, now) ||
                                 has_floor_credit(state, policy, work_rank, context.skipped);
    const placement placed =
        place(state, policy, *request, may_use_reserve, context.available, now);
    state.waiting.find(request->id)->last_obstacle = placed.blocked_by;
    if (placed.blocked_by == obstacle::memory_full || placed.blocked_by == obstacle::link_busy) {
        context.skipped.push_back({request->spec.service, request->spec.level, request->spec.team});
        return grant_attempt::skipped;
    }
    if (placed.blocked_by != obstacle::none) {
        return grant_attempt::blocked;
    }
    if (placed.first_token > request->spec.arrived + internal::usable_target(*request, policy)) {
        const duration retry_delay = internal::retry_after(state, policy);
        internal::refuse(state, request_id{request->id}, errc::target_unreachable, retry_delay);
        return grant_attempt::skipped;
    }
    issue_grant(state, policy, request_id{request->id}, placed, context.available, now, output);
    return grant_attempt::granted;
}

/// Urgent requests go first unless the deferrable rank's floor has earned credit.
std::array<rank, rank_count> rank_order(cell_state& state, const cell_policy& policy,
                                        const internal::skipped_teams& skipped) {
    if (has_floor_credit(state, policy, rank::deferrable, skipped)) {
        return {rank::deferrable, rank::urgent};
    }
    return {rank::urgent, rank::deferrable};
}

/// \returns whether another round may grant more
bool grant_round(cell_state& state, const cell_policy& policy, grant_context& context,
                 time_point now, tick_output& output) {
    for (const rank work_rank : rank_order(state, policy, context.skipped)) {
        const grant_attempt result = try_rank(state, policy, work_rank, context, now, output);
        if (result == grant_attempt::granted || result == grant_attempt::skipped) {
            return true;
        }
        // Deferrable requests must not take resources that a blocked urgent request waits for.
        if (result == grant_attempt::blocked && work_rank == rank::urgent) {
            return false;
        }
    }
    return false;
}

} // namespace

void grant_requests(cell_state& state, const cell_policy& policy, time_point now,
                    tick_output& output) {
    grant_context context;
    context.available = internal::find_available_engines(state, policy, now);
    while (output.grants.size() < policy.max_grants_per_tick &&
           context.skipped.size() < max_skipped_per_tick) {
        if (!grant_round(state, policy, context, now, output)) {
            return;
        }
    }
}

} // namespace cicadahatch::scheduling::systems
