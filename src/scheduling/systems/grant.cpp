#include "src/scheduling/systems/grant.hpp"

#include "src/scheduling/internal/cache_view.hpp"
#include "src/scheduling/internal/fair_queue.hpp"
#include "src/scheduling/internal/open_engines.hpp"
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

/// What is left to grant from in one tick.
struct grant_scope {
    internal::skipped_teams skipped;
    internal::open_engines open;
};

/// What happened to the head of a rank's queue.
enum class attempt : std::uint8_t { nothing_waits, granted, passed_over, blocked };

live_grant make_grant(cell_state& state, const cell_policy& policy, const waiting_request& request,
                      const placement& found, time_point now) {
    const request_spec& spec = request.spec;
    live_grant held;
    held.id = request.id;
    held.issued.number = state.next_grant_number++;
    held.issued.request = request.id;
    held.issued.owner = spec.owner;
    held.issued.prefill = found.prefill;
    held.issued.decode = found.decode;
    held.issued.predicted_first_token = found.first_token - spec.arrived;
    held.issued.predicted_between_tokens = found.between_tokens;
    held.issued.pieces = found.pieces;
    held.issued.expected_cached_tokens = found.cached_tokens;
    held.service = spec.service;
    held.rank = spec.rank;
    held.granted_at = now;
    held.prefill_begins = found.prefill_begins;
    held.heard_at = now;
    held.stuck_at = now + 2 * (found.first_token - now) + policy.stuck_margin;
    held.prefill_seconds = found.prefill_seconds;
    held.slot_seconds = request.slot_seconds;
    held.cost = internal::engine_seconds(state, found.prefill_seconds, request.slot_seconds);
    held.between_tokens = spec.between_tokens;
    held.prompt_tokens = spec.prompt_tokens;
    held.expected_output_tokens = spec.expected_output_tokens;
    held.output_hint = request.output_hint;
    held.output = request.output;
    held.prefix_hashes = spec.prefix_hashes;
    held.block_tokens = spec.block_tokens;
    return held;
}

void reserve_links(cell_state& state, const placement& found) {
    if (found.prefill.empty() || found.prefill == found.decode) {
        return;
    }
    for (const backend_id& backend : {found.prefill, found.decode}) {
        const link_id& id = state.engines.find(backend)->spec.link;
        link* line = id.empty() ? nullptr : state.links.find(id);
        if (line != nullptr) {
            line->free_at = std::max(line->free_at, found.transfer_ends);
        }
    }
}

void average_in(double& mean, double value) {
    mean = mean <= 0 ? value : mean + observation_weight * (value - mean);
}

void note_use(cell_state& state, const live_grant& held, std::uint8_t level) {
    const double window = to_seconds(usage_window) * state.capacity.engine_seconds;
    if (window > 0) {
        rank_queue& queue = state.ranks[rank_index(held.rank)];
        queue.usage += held.cost / window;
        if (service_queue* service = queue.services.find(held.service)) {
            service->levels[level].usage += held.cost / window;
        }
    }
    average_in(state.capacity.mean_slot_seconds, held.slot_seconds);
    average_in(state.capacity.mean_prompt_tokens, held.prompt_tokens);
    average_in(state.capacity.mean_output_tokens, held.expected_output_tokens);
}

void issue(cell_state& state, const cell_policy& policy, const request_id& request,
           const placement& found, internal::open_engines& open, time_point now,
           tick_output& output) {
    const waiting_request taken = internal::dequeue(state, request);
    live_grant held = make_grant(state, policy, taken, found, now);
    internal::charge(state, taken.spec, held.cost);
    note_use(state, held, taken.spec.level);
    reserve_links(state, found);
    if (!found.prefill.empty()) {
        internal::expect_cached(*state.engines.find(found.prefill), policy,
                                taken.spec.prefix_hashes);
    }
    output.grants.push_back(held.issued);
    internal::reserve(state, std::move(held), now);
    internal::note_reserved(open, state, found.prefill);
}

/// Whether the rank's floor has earned what its next request costs.
bool is_owed(cell_state& state, const cell_policy& policy, rank of,
             const internal::skipped_teams& skipped) {
    const rank_queue& queue = state.ranks[rank_index(of)];
    const waiting_request* next = internal::next_request(state, of, skipped);
    if (next == nullptr || queue.floor <= 0) {
        return false;
    }
    const double rate = internal::owed_rate(state, policy, queue);
    return internal::has_earned(state, queue.credit, rate, *next);
}

/// Whether no work is expected that the reserve is kept for.
bool goes_first(const cell_state& state, const cell_policy& policy, const waiting_request& request,
                time_point now) {
    return request.spec.rank == rank::urgent &&
           !internal::has_work_before(state, request.spec, policy.reserve_duration, now);
}

attempt try_rank(cell_state& state, const cell_policy& policy, rank of, grant_scope& scope,
                 time_point now, tick_output& output) {
    const waiting_request* request = internal::next_request(state, of, scope.skipped);
    if (request == nullptr) {
        return attempt::nothing_waits;
    }
    const bool may_use_reserve =
        goes_first(state, policy, *request, now) || is_owed(state, policy, of, scope.skipped);
    const placement found = place(state, policy, *request, may_use_reserve, scope.open, now);
    state.waiting.find(request->id)->last_obstacle = found.why;
    if (found.why == obstacle::memory_full || found.why == obstacle::link_busy) {
        scope.skipped.push_back({request->spec.service, request->spec.level, request->spec.team});
        return attempt::passed_over;
    }
    if (found.why != obstacle::none) {
        return attempt::blocked;
    }
    if (found.first_token > request->spec.arrived + internal::usable_target(*request, policy)) {
        const duration later = internal::retry_after(state, policy);
        internal::refuse(state, request_id{request->id}, errc::target_unreachable, later);
        return attempt::passed_over;
    }
    issue(state, policy, request_id{request->id}, found, scope.open, now, output);
    return attempt::granted;
}

/// Urgent work goes first but for what the other rank's floor is owed.
std::array<rank, rank_count> order_of_ranks(cell_state& state, const cell_policy& policy,
                                            const internal::skipped_teams& skipped) {
    if (is_owed(state, policy, rank::deferrable, skipped)) {
        return {rank::deferrable, rank::urgent};
    }
    return {rank::urgent, rank::deferrable};
}

/// \returns whether another round may grant more
bool grant_round(cell_state& state, const cell_policy& policy, grant_scope& scope, time_point now,
                 tick_output& output) {
    for (const rank of : order_of_ranks(state, policy, scope.skipped)) {
        const attempt tried = try_rank(state, policy, of, scope, now, output);
        if (tried == attempt::granted || tried == attempt::passed_over) {
            return true;
        }
        // Deferrable work must not take what urgent work waits for.
        if (tried == attempt::blocked && of == rank::urgent) {
            return false;
        }
    }
    return false;
}

} // namespace

void grant_requests(cell_state& state, const cell_policy& policy, time_point now,
                    tick_output& output) {
    grant_scope scope;
    scope.open = internal::find_open_engines(state, policy, now);
    while (output.grants.size() < policy.max_grants_per_tick &&
           scope.skipped.size() < max_skipped_per_tick) {
        if (!grant_round(state, policy, scope, now, output)) {
            return;
        }
    }
}

} // namespace cicadahatch::scheduling::systems
