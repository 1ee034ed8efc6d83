#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/grant.hpp"

namespace cicadahatch::scheduling {

/// \brief Runs the systems in this order: reap, predict, expire, admit, place and grant. The cost
/// is linear in the number of engines, waiting requests and live grants. \param now not before the
/// last tick
[[nodiscard]] tick_output tick(cell_state& state, const cell_policy& policy, time_point now);

} // namespace cicadahatch::scheduling
