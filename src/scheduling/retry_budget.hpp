#pragma once

#include "src/core/clock.hpp"

#include <cstddef>

namespace cicadahatch::scheduling {

/// \brief Bounds retries to a part of the first tries, so that failures can't multiply load.
struct retry_budget {
    double retries_per_request = 0.1; ///< earned by each first try
    double max_tokens = 10;           ///< saved up at most
    double tokens = 10;
};

/// \brief Earns the budget of one first try.
void record_request(retry_budget& budget) noexcept;

/// \returns whether a retry may be made now; if so it is charged
[[nodiscard]] bool take_retry(retry_budget& budget) noexcept;

/// \brief The part of one of several daemons in the retries that a service may get from all.
///
/// In any window a daemon makes at most \c largest retries beside those that its own requests have
/// earned, so all daemons together keep within \p extra and the ratio. It starts with one saved, so
/// that processes started again and again add little.
/// \param ratio retries for each request
/// \param extra retries beside them in a window, for all daemons together
/// \param daemons how many share them
[[nodiscard]] retry_budget budget_share(double ratio, double extra, std::size_t daemons);

} // namespace cicadahatch::scheduling
