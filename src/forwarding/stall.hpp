#pragma once

#include "src/core/clock.hpp"

#include <chrono>

namespace cicadahatch::forwarding {

/// \brief What is known about the engine of a stream that has stalled.
///
/// An engine that has evicted a stream's memory is silent until it has prefilled the stream again.
/// Such an engine is kept: its silence alone does not tell that the stream is lost, and it may run
/// the stream even after the connection is closed.
struct stall {
    time_point last_event_at;
    time_point next_check_at;
    int missed_checks = 0; ///< in a row
};

/// \brief Starts over after an event.
/// \param gap_objective the route's longest pause between two events
void record_event(stall& watched, time_point now, std::chrono::milliseconds gap_objective);

/// \returns whether the engine is to be checked now
[[nodiscard]] bool is_check_due(const stall& watched, time_point now);

/// \brief Records whether the engine has responded to a check.
/// \returns whether the engine is unreachable, so that the stream must go on elsewhere
[[nodiscard]] bool record_check(stall& watched, bool has_responded, time_point now,
                                std::chrono::milliseconds gap_objective);

} // namespace cicadahatch::forwarding
