#include "src/core/random.hpp"
#include "src/scheduling/retry_budget.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <vector>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::scheduling;

constexpr double ratio = 0.2;
constexpr double extra = 54;
constexpr int window = 1'000; ///< steps

/// Requests and retries in one step.
struct step_counts {
    int requests = 0;
    int retries = 0;
};

} // namespace

TEST_CASE("budget_share, random schedules, all daemons stay within the limit in every window") {
    for (std::uint64_t seed = 1; seed <= 2'000; ++seed) {
        INFO("seed " << seed);
        random_source random{seed};
        const std::size_t daemons = 1 + random.below(12);
        std::vector<retry_budget> shares(daemons, budget_share(ratio, extra, daemons));
        std::deque<step_counts> seen;
        double requests = 0;
        double retries = 0;
        const double busy = random.unit();
        for (int step = 0; step < 3 * window; ++step) {
            step_counts now;
            retry_budget& share = shares[random.below(daemons)];
            if (random.chance(busy)) {
                record_request(share);
                ++now.requests;
            }
            // Every step attempts a retry, as if all requests failed.
            now.retries += take_retry(share) ? 1 : 0;
            seen.push_back(now);
            requests += now.requests;
            retries += now.retries;
            if (seen.size() > window) {
                requests -= seen.front().requests;
                retries -= seen.front().retries;
                seen.pop_front();
            }
            REQUIRE(retries <= ratio * requests + extra);
        }
    }
}

TEST_CASE("budget_share, new process, allows one retry") {
    retry_budget share = budget_share(ratio, extra, 3);
    CHECK(take_retry(share));
    CHECK_FALSE(take_retry(share));
}

TEST_CASE("budget_share, more daemons than retries, allows one retry each") {
    CHECK(budget_share(ratio, 10, 400).max_tokens == 1.0);
}
