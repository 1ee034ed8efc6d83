#include "src/scheduling/internal/retry_after.hpp"

#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling::internal {

namespace {

/// Part of a pool that is taken to be left beside any demand, where no floor keeps more.
constexpr double smallest_spare = 0.05;

/// Longer times than this, in seconds, are cut off by the policy anyway.
constexpr double longest_drain_seconds = 3600;

/// Time until a pool has done so much work beside its demand, in seconds.
double drain_seconds(double work, double supply, double demand, double floor) {
    if (supply <= 0) {
        return 0;
    }
    return work / std::max(supply - demand, supply * std::max(floor, smallest_spare));
}

} // namespace

void note_demand(cell_state& state, const waiting_request& request) {
    if (request.spec.rank != rank::urgent) {
        return;
    }
    const double window = to_seconds(usage_window);
    state.demand.prefill_seconds += request.prefill_seconds / window;
    state.demand.slot_seconds += request.slot_seconds / window;
}

void age_demand(cell_state& state, double elapsed, time_point now) {
    const double decay = std::exp(-elapsed / to_seconds(usage_window));
    state.demand.prefill_seconds *= decay;
    state.demand.slot_seconds *= decay;
    auto& due = state.promised.due;
    while (!due.empty() && due.begin()->first <= now) {
        remove_work(state.promised.sum, due.begin()->second);
        due.erase(due.begin());
    }
}

duration retry_after(cell_state& state, const cell_policy& policy) {
    const cell_capacity& capacity = state.capacity;
    const work_amount& late = state.ranks[rank_index(rank::deferrable)].waiting;
    const work_amount& on_time = state.ranks[rank_index(rank::urgent)].waiting;
    const work_amount& promised = state.promised.sum;
    const double floor = state.ranks[rank_index(rank::deferrable)].floor;
    const double prefill =
        late.prefill_seconds + on_time.prefill_seconds + promised.prefill_seconds;
    const double slots = late.slot_seconds + on_time.slot_seconds + promised.slot_seconds;
    const double drained = std::max(
        drain_seconds(prefill, capacity.prefill_engines, state.demand.prefill_seconds, floor),
        drain_seconds(slots, capacity.slots, state.demand.slot_seconds, floor));
    const duration base = std::clamp(from_seconds(std::min(drained, longest_drain_seconds)),
                                     2 * policy.min_retry_after, policy.max_retry_after);
    return state.random.jittered(base);
}

void note_promise(cell_state& state, const waiting_request& refused, time_point due) {
    const work_amount brought = work_of(refused);
    add_work(state.promised.sum, brought);
    state.promised.due.emplace(due, brought);
}

} // namespace cicadahatch::scheduling::internal
