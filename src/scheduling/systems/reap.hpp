#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::systems {

/// \brief Frees grants whose owner has timed out, records stuck prefills and transfers as engine
/// failures, and removes unlisted engines and idle teams.
void reap(cell_state& state, const cell_policy& policy, time_point now, tick_output& output);

} // namespace cicadahatch::scheduling::systems
