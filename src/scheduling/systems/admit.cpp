#include "src/scheduling/systems/admit.hpp"

#include "src/scheduling/internal/fair_queue.hpp"
#include "src/scheduling/internal/prediction.hpp"
#include "src/scheduling/internal/refuse.hpp"
#include "src/scheduling/internal/retry_after.hpp"

#include <optional>
#include <utility>

namespace cicadahatch::scheduling::systems {

namespace {

work_amount ahead_in_team(const cell_state& state, const waiting_request& request) {
    const rank_queue& queue = state.ranks[rank_index(request.spec.rank)];
    const service_queue* service = queue.services.find(request.spec.service);
    const level_queue& level = service->levels.at(request.spec.level);
    work_amount ahead = level.teams.at(request.spec.team).ahead;
    internal::remove_work(ahead, internal::work_of(request));
    return ahead;
}

std::optional<errc> fault_of(const cell_state& state, const cell_policy& policy,
                             const waiting_request& request, time_point now) {
    const bool can_prefill = state.capacity.is_plain || state.capacity.prefill_engines > 0;
    if (state.capacity.slots <= 0 || !can_prefill) {
        return errc::no_engine;
    }
    const rank_queue& queue = state.ranks[rank_index(request.spec.rank)];
    if (queue.waiting.requests > policy.max_waiting) {
        return errc::queue_full;
    }
    const work_amount ahead = ahead_in_team(state, request);
    const double part = internal::team_part(state, request.spec);
    const double wait = internal::predicted_wait_seconds(state, request.spec, ahead, part);
    const bool is_late = now + internal::from_seconds(wait) > request.latest_start;
    return is_late ? std::optional{errc::target_unreachable} : std::nullopt;
}

} // namespace

void admit(cell_state& state, const cell_policy& policy, time_point now) {
    const std::vector<request_id> arrivals = std::exchange(state.arrivals, {});
    if (state.registration_since) {
        return; // Reservations are not known yet, so neither are waits.
    }
    // The last to come is judged first, so that it leaves the ones before it in place.
    for (auto newest = arrivals.rbegin(); newest != arrivals.rend(); ++newest) {
        const waiting_request* request = state.waiting.find(*newest);
        if (request == nullptr) {
            continue;
        }
        if (const auto fault = fault_of(state, policy, *request, now)) {
            const duration later = internal::retry_after(state, policy);
            internal::refuse(state, *newest, *fault, later);
        }
    }
}

} // namespace cicadahatch::scheduling::systems
