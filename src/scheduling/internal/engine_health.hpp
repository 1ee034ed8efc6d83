#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::internal {

/// \returns whether the engine accepts new work
[[nodiscard]] bool takes_work(const engine& instance) noexcept;

/// \brief Records a failure caused by the engine. Enough consecutive failures eject it.
void record_failure(cell_state& state, const cell_policy& policy, const backend_id& backend,
                    time_point now);

/// \brief Holds back new work from an engine at which an attempt failed, until a load report shows
/// that it responds. The last available engine of a role is not held back.
void hold_back(cell_state& state, const backend_id& backend, time_point now);

/// \brief Ends the hold if a report was taken after the failure.
void end_hold_after_report(engine& instance, time_point taken_at) noexcept;

/// \brief Records a success. An engine on probation becomes healthy.
void record_success(cell_state& state, const backend_id& backend);

/// \brief Moves engines whose ejection has expired to probing, ends holds that have timed out, and
/// ejects engines that are much slower than the median of their role.
void update_health(cell_state& state, const cell_policy& policy, time_point now);

} // namespace cicadahatch::scheduling::internal
