#pragma once

#include "bench/replay/world.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/role_change.hpp"
#include "src/scheduling/tick.hpp"

#include <functional>

namespace cicadahatch::replay {

/// Called after each tick of each cell.
using cell_observer =
    std::function<void(const scheduling::cell_state&, const scheduling::cell_policy&,
                       const scheduling::tick_output&, time_point)>;

/// \returns a cell in each failure domain, run by the scheduling module
[[nodiscard]] router cell_router(const deployment& of, const scheduling::cell_policy& policy,
                                 cell_observer observer = {},
                                 const scheduling::role_change_policy& roles = {});

/// \returns a rule under which no engine changes its role
[[nodiscard]] scheduling::role_change_policy fixed_roles();

/// \returns round robin, first in first out, prefill at once, no reservation
[[nodiscard]] router naive_router();

/// \returns each daemon alone: least loaded engine by lagged reports and its own grants since
[[nodiscard]] router lone_router();

/// \returns as lone_router(), but only the better of two random engines
[[nodiscard]] router two_choice_router();

/// \returns each daemon with a fixed part of every engine and a queue of its own
[[nodiscard]] router quota_router();

/// \returns the weights that the deployment's operators set
[[nodiscard]] scheduling::cell_policy policy_of(const deployment& of);

} // namespace cicadahatch::replay
