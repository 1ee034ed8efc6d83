#pragma once

#include "src/core/clock.hpp"

#include <chrono>

namespace cicadahatch::forwarding {

/// \brief Times of a graceful shutdown. Each bounds one kind of wait, so that every request that
/// has been read is answered before the process exits.
struct shutdown_schedule {
    /// Streams that arrive later are rejected.
    time_point last_stream_admission;
    /// Streams that no engine has been assigned to by then are rejected: one that started later
    /// would not complete.
    time_point last_placement;
    /// Requests without a response get their final one.
    time_point last_response;
    /// The process exits, whatever is still in progress.
    time_point exit;
};

/// \param now when the shutdown begins
/// \param limit time after which the process is killed
[[nodiscard]] shutdown_schedule plan_shutdown(time_point now, std::chrono::milliseconds limit);

} // namespace cicadahatch::forwarding
