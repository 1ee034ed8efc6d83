#pragma once

#include "src/cells/home.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/scheduling/role_change.hpp"

namespace cicadahatch::gateway {

/// \returns the engines and the service of a cell: a cell is the pool of one model service
[[nodiscard]] cells::cell_topology make_cell_topology(const forwarding::gateway_state& state,
                                                      const cell_id& cell);

/// \returns how the cells of a gateway decide
[[nodiscard]] scheduling::cell_policy gateway_policy();

/// \returns when engines are moved between the pools
/// \param change_time until an engine works in its new role
[[nodiscard]] scheduling::role_change_policy
gateway_role_change_policy(std::chrono::milliseconds change_time);

} // namespace cicadahatch::gateway
