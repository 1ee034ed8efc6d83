#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::systems {

/// \brief Grants waiting requests in fair order while engines accept them. Urgent requests have
/// priority, unless the floor of the deferrable rank has earned credit.
void grant_requests(cell_state& state, const cell_policy& policy, time_point now,
                    tick_output& output);

} // namespace cicadahatch::scheduling::systems
