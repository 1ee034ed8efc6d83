#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::systems {

/// \brief Frees grants of silent owners, counts stuck prefills against their engines, and drops
/// rows that are no longer needed.
void reap(cell_state& state, const cell_policy& policy, time_point now, tick_output& output);

} // namespace cicadahatch::scheduling::systems
