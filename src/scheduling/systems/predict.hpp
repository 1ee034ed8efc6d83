#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::systems {

/// \brief Updates engine health, capacity, usage averages and floor credits.
void predict(cell_state& state, const cell_policy& policy, time_point now);

} // namespace cicadahatch::scheduling::systems
