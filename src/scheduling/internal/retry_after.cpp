#include "src/scheduling/internal/retry_after.hpp"

#include "src/scheduling/internal/prediction.hpp"

#include <algorithm>

namespace cicadahatch::scheduling::internal {

duration retry_after(cell_state& state, const cell_policy& policy, rank of) {
    const work_amount& all = state.ranks[rank_index(of)].waiting;
    const duration drained = from_seconds(predicted_wait_seconds(state, of, all, 1));
    const duration base =
        std::clamp(2 * drained, 2 * policy.shortest_retry_after, policy.longest_retry_after);
    return state.random.jittered(base);
}

} // namespace cicadahatch::scheduling::internal
