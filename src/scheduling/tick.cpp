#include "src/scheduling/tick.hpp"

#include "src/core/macros.hpp"
#include "src/scheduling/systems/admit.hpp"
#include "src/scheduling/systems/expire.hpp"
#include "src/scheduling/systems/grant.hpp"
#include "src/scheduling/systems/predict.hpp"
#include "src/scheduling/systems/reap.hpp"

#include <utility>

namespace cicadahatch::scheduling {

namespace {

/// A new home grants nothing until its predecessor's grants are registered or the window ends.
bool is_registering(cell_state& state, const cell_policy& policy, time_point now) {
    if (!state.registration_since) {
        return false;
    }
    const bool is_over = now - *state.registration_since >= policy.registration_window;
    if (is_over || state.unregistered.empty()) {
        state.registration_since.reset();
        state.unregistered.clear();
    }
    return state.registration_since.has_value();
}

} // namespace

tick_output tick(cell_state& state, const cell_policy& policy, time_point now) {
    CICADAHATCH_ASSERT(now >= state.last_tick, tick_goes_forward);
    tick_output output;
    systems::reap(state, policy, now, output);
    systems::predict(state, policy, now);
    systems::expire(state, policy, now);
    if (!is_registering(state, policy, now)) {
        systems::admit(state, policy, now);
        systems::grant_requests(state, policy, now, output);
    }
    output.refusals = std::exchange(state.pending_refusals, {});
    state.last_tick = now;
    return output;
}

} // namespace cicadahatch::scheduling
