#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::internal {

/// \returns whether the engine may take new work at all
[[nodiscard]] bool takes_work(const engine& on) noexcept;

/// \brief Notes a failure that is the engine's fault; enough of them in a row eject it.
void note_failure(cell_state& state, const cell_policy& policy, const backend_id& backend,
                  time_point now);

/// \brief Notes a success; a probed engine is healthy again.
void note_success(cell_state& state, const backend_id& backend);

/// \brief Lets ejected engines whose time is over take one probe, and ejects ones that are much
/// slower than the others of their role.
void review_health(cell_state& state, const cell_policy& policy, time_point now);

} // namespace cicadahatch::scheduling::internal
