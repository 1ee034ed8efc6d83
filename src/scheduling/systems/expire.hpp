#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::systems {

/// \brief Refuses waiting requests whose deadline has passed or whose target is unreachable.
void expire(cell_state& state, const cell_policy& policy, time_point now);

} // namespace cicadahatch::scheduling::systems
