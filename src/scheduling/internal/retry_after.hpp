#pragma once

#include "src/core/clock.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

namespace cicadahatch::scheduling::internal {

/// \brief Adds the work of a new request of the urgent rank to the demand.
void record_demand(cell_state& state, const waiting_request& request);

/// \brief Decays the demand and removes scheduled retries whose time has passed.
/// \param elapsed seconds since the last call
void decay_demand(cell_state& state, double elapsed, time_point now);

/// \returns the delay after which a refused caller should retry, with jitter
///
/// Spreads retries over time after a burst that exceeds the capacity. A retry has missed its target
/// and runs in the deferrable rank, so it gets only the capacity left by urgent demand, and only
/// after the retries that are already scheduled. Returning the drain time of the current queue
/// would send all retries into the same burst, where they are refused for good.
[[nodiscard]] duration retry_after(cell_state& state, const cell_policy& policy);

/// \brief Records the retry time given to a refused caller.
void record_scheduled_retry(cell_state& state, const waiting_request& refused, time_point due);

} // namespace cicadahatch::scheduling::internal
