#pragma once

#include "src/cells/home.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/scheduling/role_change.hpp"

namespace cicadahatch::gateway {

/// \returns the engines and the service of a cell. A cell is the engine pool of one model service.
[[nodiscard]] cells::cell_topology make_cell_topology(const forwarding::gateway_state& state,
                                                      const cell_id& cell);

/// \returns the scheduling policy of a gateway's cells
[[nodiscard]] scheduling::cell_policy gateway_policy();

/// \returns the policy for moving engines between the prefill and the decode pool
/// \param change_time duration of a role change
[[nodiscard]] scheduling::role_change_policy
gateway_role_change_policy(std::chrono::milliseconds change_time);

} // namespace cicadahatch::gateway
