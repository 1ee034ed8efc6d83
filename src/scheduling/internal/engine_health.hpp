#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::internal {

/// \returns whether the engine may take new work at all
[[nodiscard]] bool takes_work(const engine& on) noexcept;

/// \brief Notes a failure that is the engine's fault; enough of them in a row eject it.
void note_failure(cell_state& state, const cell_policy& policy, const backend_id& backend,
                  time_point now);

/// \brief Holds new work back from an engine at which an attempt has just failed, until a report
/// shows that it answers. The only engine of its role that takes work is not held back.
void hold_back(cell_state& state, const backend_id& backend, time_point now);

/// \brief Ends the hold if the report was taken after the failure.
void note_report(engine& on, time_point taken_at) noexcept;

/// \brief Notes a success; a probed engine is healthy again.
void note_success(cell_state& state, const backend_id& backend);

/// \brief Lets ejected engines whose time is over take one probe, ends holds that no report has
/// ended, and ejects engines that are much slower than the others of their role.
void review_health(cell_state& state, const cell_policy& policy, time_point now);

} // namespace cicadahatch::scheduling::internal
