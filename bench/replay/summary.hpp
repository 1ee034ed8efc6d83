#pragma once

#include "bench/replay/world.hpp"

namespace cicadahatch::replay {

/// \brief What one run achieved. Requests whose callers cancelled are left out of all parts.
struct summary {
    std::size_t asked = 0;
    std::size_t good = 0;   ///< both targets met
    double wasted = 0;      ///< part of the prefill work that was thrown away
    double urgent_good = 0; ///< part of the urgent requests, in floods of the other rank if any
    double rest_kept = 0; ///< deferrable work done well over its floor, in floods of urgent if any
    duration urgent_first_p99{0};
    std::size_t late = 0; ///< answered, but a target was missed
};

[[nodiscard]] summary summarize(const world& after);

/// \brief Most requests that could have been served well.
struct upper_bound {
    /// An ideal cell in place of all engines: one prefill engine of their summed speed, one pool
    /// of all slots, no noise, no delay, full knowledge; urgent first, then first in first out.
    /// A dead engine's part is taken away from its death on.
    std::size_t ideal = 0;
    /// Requests that fit into the engine seconds of the whole run, smallest first, whatever their
    /// targets: no order of service can do better, nor would one be wanted that starves long ones.
    std::size_t smallest_first = 0;
};

[[nodiscard]] upper_bound bound_of(const deployment& fleet, const scenario& played,
                                   const std::vector<arrival>& trace);

} // namespace cicadahatch::replay
