#include "src/scheduling/internal/refuse.hpp"

#include "src/scheduling/internal/fair_queue.hpp"
#include "src/scheduling/internal/prediction.hpp"
#include "src/scheduling/internal/retry_after.hpp"

namespace cicadahatch::scheduling::internal {

namespace {

refusal_inputs inputs_of(const cell_state& state, const waiting_request& refused) {
    const work_amount all = work_ahead(state, refused.spec);
    const double fraction = level_fraction(state, refused.spec);
    refusal_inputs inputs;
    inputs.last_obstacle = refused.last_obstacle;
    inputs.predicted_wait = from_seconds(predicted_wait_seconds(state, fraction, all));
    inputs.waiting = all.requests;
    inputs.prefill_engines = state.capacity.prefill_engines;
    inputs.decode_engines = state.capacity.decode_engines;
    inputs.free_slots = state.capacity.free_slots;
    return inputs;
}

} // namespace

void refuse(cell_state& state, const request_id& request, errc reason, duration retry_after) {
    const waiting_request refused = dequeue(state, request);
    if (retry_after > duration::zero()) {
        record_scheduled_retry(state, refused, state.last_tick + retry_after);
    }
    state.pending_refusals.push_back(
        {refused.id, refused.spec.owner, reason, retry_after, inputs_of(state, refused)});
}

} // namespace cicadahatch::scheduling::internal
