#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::systems {

/// \brief Works out what the cell can do: health, capacity, use by rank and owed floors.
void predict(cell_state& state, const cell_policy& policy, time_point now);

} // namespace cicadahatch::scheduling::systems
