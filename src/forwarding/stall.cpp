#include "src/forwarding/stall.hpp"

namespace cicadahatch::forwarding {

namespace {

/// Pause, as a multiple of the route's gap objective, after which a stream counts as stalled.
/// Shorter pauses are common on engines that evict a stream's memory.
constexpr int stall_gaps = 4;

/// Checks in a row without a response after which an engine counts as unreachable. A single one may
/// be lost, or be late because this daemon is busy.
constexpr int max_missed_checks = 2;

} // namespace

void record_event(stall& watched, time_point now, std::chrono::milliseconds gap_objective) {
    watched.last_event_at = now;
    watched.next_check_at = now + stall_gaps * gap_objective;
    watched.missed_checks = 0;
}

bool is_check_due(const stall& watched, time_point now) {
    return now >= watched.next_check_at;
}

bool record_check(stall& watched, bool has_responded, time_point now,
                  std::chrono::milliseconds gap_objective) {
    if (has_responded) {
        watched.missed_checks = 0;
        watched.next_check_at = now + stall_gaps * gap_objective;
        return false;
    }
    ++watched.missed_checks;
    watched.next_check_at = now + gap_objective;
    return watched.missed_checks >= max_missed_checks;
}

} // namespace cicadahatch::forwarding
