#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::systems {

/// \brief Checks the requests that arrived since the last tick and refuses those whose predicted
/// wait is too long, instead of letting them wait until they expire.
void admit(cell_state& state, const cell_policy& policy, time_point now);

} // namespace cicadahatch::scheduling::systems
