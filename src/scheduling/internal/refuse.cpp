#include "src/scheduling/internal/refuse.hpp"

#include "src/scheduling/internal/fair_queue.hpp"

namespace cicadahatch::scheduling::internal {

void refuse(cell_state& state, const request_id& request, errc reason, duration retry_after) {
    const waiting_request refused = dequeue(state, request);
    state.pending_refusals.push_back({refused.id, refused.spec.owner, reason, retry_after});
}

} // namespace cicadahatch::scheduling::internal
