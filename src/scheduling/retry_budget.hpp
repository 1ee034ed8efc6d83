#pragma once

#include "src/core/clock.hpp"

#include <cstddef>

namespace cicadahatch::scheduling {

/// \brief Token bucket that limits retries to a fraction of the requests, so that failures can't
/// multiply the load.
struct retry_budget {
    double retries_per_request = 0.1; ///< tokens earned by each request
    double max_tokens = 10;           ///< capacity of the bucket
    double tokens = 10;
};

/// \brief Adds the tokens of one request.
void record_request(retry_budget& budget) noexcept;

/// \returns whether take_retry() would succeed now
[[nodiscard]] bool has_retry(const retry_budget& budget) noexcept;

/// \brief Takes a token for one retry.
/// \returns whether the retry may be made
[[nodiscard]] bool take_retry(retry_budget& budget) noexcept;

/// \brief The share of one daemon in a service's retry budget.
///
/// In any window a daemon makes at most \c max_tokens retries beyond those that its own requests
/// earn, so all daemons together stay within \p extra and the ratio. A share starts with one token,
/// so that processes that restart often add few retries.
/// \param ratio retries per request
/// \param extra additional retries in a window, over all daemons
/// \param daemons number of daemons that share the budget
[[nodiscard]] retry_budget budget_share(double ratio, double extra, std::size_t daemons);

} // namespace cicadahatch::scheduling
