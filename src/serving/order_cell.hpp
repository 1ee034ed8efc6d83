#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/serving/cell_layout.hpp"

namespace cicadahatch::serving {

/// \brief Demanded part of a cell's two pools at one moment, between zero and one.
struct pool_use {
    double prefill = 0;
    double decode = 0;
};

/// \brief What the orders to the engines of a hosted cell depend on.
struct order_cell {
    cell_plan plan; ///< with the engines' latest loads
    pool_use use;
};

/// \returns the part of prefill engines that are busy, and the used part of the decode engines'
/// slots or memory, whichever is larger; waiting requests count to the pool that holds them back
/// \param policy whose part of the slots kept for the urgent rank counts as no supply: once the
/// others are taken, deferrable work is held back
[[nodiscard]] pool_use measure_use(const scheduling::cell_state& state,
                                   const scheduling::cell_policy& policy);

} // namespace cicadahatch::serving
