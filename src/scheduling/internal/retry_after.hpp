#pragma once

#include "src/core/clock.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::internal {

/// \brief Counts the work of a request that has just arrived, if it can be on time.
void note_demand(cell_state& state, const waiting_request& request);

/// \brief Lets the demand of the past fade and forgets the callers who were due to come back.
/// \param elapsed seconds since the last call
void age_demand(cell_state& state, double elapsed, time_point now);

/// \returns when a refused caller should come back, jittered.
///
/// Answers bursts beyond the capacity: callers who come back can't be on time any more and go
/// behind all who can, so there is room for them only beside the demand of these, and only after
/// those who were told to come back before. Telling each the time in which the present queue drains
/// has all of them come back into the same burst, and be refused for good.
[[nodiscard]] duration retry_after(cell_state& state, const cell_policy& policy);

/// \brief Notes that a refused caller was told to come back.
void note_promise(cell_state& state, const waiting_request& refused, time_point due);

} // namespace cicadahatch::scheduling::internal
