#pragma once

#include "cicadahatch/scheduling"

namespace cicadahatch::test_support {

/// What must hold in a cell after every step.
enum class cell_fault : std::uint8_t {
    none,
    slots_exceeded,
    memory_exceeded,
    prefills_exceeded,
    counts_differ,       ///< an engine's reservations are not those of the grants
    granted_and_waiting, ///< a request has two places
    queue_differs        ///< the queues' sums are not those of the waiting requests
};

/// \returns the first fault found
[[nodiscard]] cell_fault find_fault(const scheduling::cell_state& state);

} // namespace cicadahatch::test_support
