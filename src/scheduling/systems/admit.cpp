#include "src/scheduling/systems/admit.hpp"

#include "src/scheduling/internal/fair_queue.hpp"
#include "src/scheduling/internal/prediction.hpp"
#include "src/scheduling/internal/refuse.hpp"
#include "src/scheduling/internal/retry_after.hpp"

#include <optional>
#include <utility>

namespace cicadahatch::scheduling::systems {

namespace {

work_amount team_work_ahead(const cell_state& state, const waiting_request& request) {
    const rank_queue& queue = state.ranks[rank_index(request.spec.rank)];
    const service_queue* service = queue.services.find(request.spec.service);
    const level_queue& level = service->levels.at(request.spec.level);
    work_amount ahead = level.teams.at(request.spec.team).waiting;
    internal::remove_work(ahead, internal::request_work(request));
    return ahead;
}

std::optional<errc> refusal_reason(const cell_state& state, const cell_policy& policy,
                                   const waiting_request& request, time_point now) {
    const bool can_prefill = state.capacity.is_plain || state.capacity.prefill_engines > 0;
    if (state.capacity.slots <= 0 || !can_prefill) {
        return errc::no_engine;
    }
    const rank_queue& queue = state.ranks[rank_index(request.spec.rank)];
    if (queue.waiting.requests > policy.max_waiting) {
        return errc::queue_full;
    }
    const work_amount ahead = team_work_ahead(state, request);
    const double fraction = internal::team_fraction(state, request.spec);
    const double wait = internal::predicted_wait_seconds(state, request.spec, ahead, fraction);
    const bool is_late = now + internal::from_seconds(wait) > request.latest_start;
    return is_late ? std::optional{errc::target_unreachable} : std::nullopt;
}

} // namespace

void admit(cell_state& state, const cell_policy& policy, time_point now) {
    const std::vector<request_id> arrivals = std::exchange(state.arrivals, {});
    if (state.registration_since) {
        return; // Waits can't be predicted before all reservations are registered.
    }
    // Newest first, so that refused requests don't count as work ahead of older ones.
    for (auto newest = arrivals.rbegin(); newest != arrivals.rend(); ++newest) {
        const waiting_request* request = state.waiting.find(*newest);
        if (request == nullptr) {
            continue;
        }
        if (const auto reason = refusal_reason(state, policy, *request, now)) {
            const duration retry_delay = internal::retry_after(state, policy);
            internal::refuse(state, *newest, *reason, retry_delay);
        }
    }
}

} // namespace cicadahatch::scheduling::systems
