#include "src/scheduling/retry_budget.hpp"

#include <algorithm>

namespace cicadahatch::scheduling {

void record_request(retry_budget& budget) noexcept {
    budget.tokens = std::min(budget.tokens + budget.retries_per_request, budget.max_tokens);
}

bool has_retry(const retry_budget& budget) noexcept {
    return budget.tokens >= 1;
}

bool take_retry(retry_budget& budget) noexcept {
    if (!has_retry(budget)) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

retry_budget budget_share(double ratio, double extra, std::size_t daemons) {
    const double daemon_count = static_cast<double>(std::max<std::size_t>(1, daemons));
    retry_budget share;
    share.retries_per_request = ratio;
    share.max_tokens = std::max(1.0, extra / daemon_count);
    share.tokens = 1.0;
    return share;
}

} // namespace cicadahatch::scheduling
