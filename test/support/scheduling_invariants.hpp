#pragma once

#include "cicadahatch/scheduling"

namespace cicadahatch::test_support {

/// Violations of a cell's invariants.
enum class cell_fault : std::uint8_t {
    none,
    slots_exceeded,
    memory_exceeded,
    prefills_exceeded,
    counts_differ,       ///< an engine's reservations differ from the grants
    granted_and_waiting, ///< a request is waiting and granted
    queue_differs        ///< the queues' sums differ from the waiting requests
};

/// \returns the first violation found, or none
[[nodiscard]] cell_fault find_fault(const scheduling::cell_state& state);

} // namespace cicadahatch::test_support
