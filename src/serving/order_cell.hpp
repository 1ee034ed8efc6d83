#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/role_change.hpp"
#include "src/serving/cell_layout.hpp"

namespace cicadahatch::serving {

/// \brief What the orders to the engines of a hosted cell depend on.
struct order_cell {
    cell_plan plan;                   ///< with the engines' latest loads
    scheduling::pool_utilization use; ///< between zero and one
};

/// \returns the part of prefill engines that are busy, and the used part of the decode engines'
/// slots or memory, whichever is larger; waiting requests count to the pool that holds them back
/// \param policy whose part of the slots kept for the urgent rank counts as no supply: once the
/// others are taken, deferrable work is held back
[[nodiscard]] scheduling::pool_utilization measure_use(const scheduling::cell_state& state,
                                                       const scheduling::cell_policy& policy);

} // namespace cicadahatch::serving
