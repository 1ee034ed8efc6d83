#include "src/scheduling/internal/retry_after.hpp"

#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>
#include <cmath>

namespace cicadahatch::scheduling::internal {

namespace {

/// Minimum fraction of a pool assumed to be left by the demand, unless a floor guarantees more.
constexpr double min_spare_fraction = 0.05;

/// Upper bound of a drain time, in seconds; the policy's limit is shorter.
constexpr double max_drain_seconds = 3600;

/// Time, in seconds, to finish the work with the capacity that the demand leaves.
double drain_seconds(double work, double supply, double demand, double floor) {
    if (supply <= 0) {
        return 0;
    }
    return work / std::max(supply - demand, supply * std::max(floor, min_spare_fraction));
}

} // namespace

void record_demand(cell_state& state, const waiting_request& request) {
    if (request.spec.rank != rank::urgent) {
        return;
    }
    const double window = to_seconds(usage_window);
    state.demand.prefill_seconds += request.prefill_seconds / window;
    state.demand.slot_seconds += request.slot_seconds / window;
}

void decay_demand(cell_state& state, double elapsed, time_point now) {
    const double decay = std::exp(-elapsed / to_seconds(usage_window));
    state.demand.prefill_seconds *= decay;
    state.demand.slot_seconds *= decay;
    auto& due = state.scheduled_retries.due;
    while (!due.empty() && due.begin()->first <= now) {
        remove_work(state.scheduled_retries.sum, due.begin()->second);
        due.erase(due.begin());
    }
}

duration retry_after(cell_state& state, const cell_policy& policy) {
    const cell_capacity& capacity = state.capacity;
    const work_amount& late = state.ranks[rank_index(rank::deferrable)].waiting;
    const work_amount& on_time = state.ranks[rank_index(rank::urgent)].waiting;
    const work_amount& scheduled_retries = state.scheduled_retries.sum;
    const double floor = state.ranks[rank_index(rank::deferrable)].floor;
    const double prefill =
        late.prefill_seconds + on_time.prefill_seconds + scheduled_retries.prefill_seconds;
    const double slots = late.slot_seconds + on_time.slot_seconds + scheduled_retries.slot_seconds;
    const double drain_time = std::max(
        drain_seconds(prefill, capacity.prefill_engines, state.demand.prefill_seconds, floor),
        drain_seconds(slots, capacity.slots, state.demand.slot_seconds, floor));
    const duration base = std::clamp(from_seconds(std::min(drain_time, max_drain_seconds)),
                                     2 * policy.min_retry_after, policy.max_retry_after);
    return state.random.jittered(base);
}

void record_scheduled_retry(cell_state& state, const waiting_request& refused, time_point due) {
    const work_amount brought = request_work(refused);
    add_work(state.scheduled_retries.sum, brought);
    state.scheduled_retries.due.emplace(due, brought);
}

} // namespace cicadahatch::scheduling::internal
