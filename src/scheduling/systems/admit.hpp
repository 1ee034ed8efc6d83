#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::systems {

/// \brief Judges the requests that came since the last tick: those that would wait too long are
/// refused at once instead of after a vain wait.
void admit(cell_state& state, const cell_policy& policy, time_point now);

} // namespace cicadahatch::scheduling::systems
