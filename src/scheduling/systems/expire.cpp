#include "src/scheduling/systems/expire.hpp"

#include "src/scheduling/internal/refuse.hpp"
#include "src/scheduling/internal/retry_after.hpp"

#include <utility>
#include <vector>

namespace cicadahatch::scheduling::systems {

void expire(cell_state& state, const cell_policy& policy, time_point now) {
    std::vector<std::pair<request_id, errc>> late;
    for (const waiting_request& request : state.waiting.rows()) {
        const bool has_deadline = request.spec.deadline != time_point{};
        if (has_deadline && now >= request.spec.deadline) {
            late.emplace_back(request.id, errc::deadline_passed);
        } else if (now > request.latest_start) {
            late.emplace_back(request.id, errc::target_unreachable);
        }
    }
    for (const auto& [request, reason] : late) {
        internal::refuse(state, request, reason, internal::retry_after(state, policy));
    }
}

} // namespace cicadahatch::scheduling::systems
