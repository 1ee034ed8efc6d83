#pragma once

#include "bench/replay/world.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/role_change.hpp"

#include <optional>

namespace cicadahatch::replay {

/// \brief The changes of role in one cell.
struct cell_roles {
    scheduling::role_change_policy rule;
    scheduling::role_balance balance;
    std::optional<backend_id> changing; ///< draining or changing its role
    bool is_ordered = false;            ///< it has drained and changes its role
    time_point reviewed_at = replay_begin;
};

/// \brief Observes the cell's pools and takes a wanted change one step further: the least busy
/// decode engine is paused, loses its streams as they end, and then becomes a prefill engine.
void review_roles(world& in, scheduling::cell_state& state, cell_roles& roles);

} // namespace cicadahatch::replay
