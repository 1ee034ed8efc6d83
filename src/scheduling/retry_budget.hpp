#pragma once

#include "src/core/clock.hpp"

namespace cicadahatch::scheduling {

/// \brief Bounds retries to a part of the first tries, so that failures can't multiply load.
struct retry_budget {
    double retries_per_request = 0.1; ///< earned by each first try
    double largest = 10;              ///< saved up at most
    double tokens = 10;
};

/// \brief Earns the budget of one first try.
void note_request(retry_budget& budget) noexcept;

/// \returns whether a retry may be made now; if so it is charged
[[nodiscard]] bool take_retry(retry_budget& budget) noexcept;

} // namespace cicadahatch::scheduling
