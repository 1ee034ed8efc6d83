#include "src/scheduling/retry_budget.hpp"

#include <algorithm>

namespace cicadahatch::scheduling {

void note_request(retry_budget& budget) noexcept {
    budget.tokens = std::min(budget.tokens + budget.retries_per_request, budget.largest);
}

bool take_retry(retry_budget& budget) noexcept {
    if (budget.tokens < 1) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace cicadahatch::scheduling
