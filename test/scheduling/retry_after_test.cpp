#include "cicadahatch/core"
#include "cicadahatch/scheduling"
#include "src/scheduling/internal/retry_after.hpp"
#include "test/support/scheduling_cell.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;

constexpr duration late_target = 2400ms;
constexpr std::uint32_t output_tokens = 50;

/// A cell of four prefill engines with 6.6 prompts per second each. Refused callers retry once.
struct burst_fixture {
    manual_clock time;
    cell_policy policy;
    cell_state state = test_support::small_cell(time.now(), 4, 8);
    test_support::granted_streams streams;
    std::multimap<time_point, int> pending_retries;
    std::map<request_id, int> submitted; ///< number of retries of the caller
    std::size_t next = 0;
    int on_time = 0;
    int served_late = 0;
    int refused_finally = 0;
    double arrivals_due = 0; ///< fractional number of requests due to arrive

    burst_fixture() {
        policy.min_retry_after = 300ms;
        policy.max_retry_after = 4s;
        service_spec service = *state.services.find(service_id{"notes"});
        service.urgent.first_token = 800ms;
        service.deferrable.first_token = late_target;
        service.deferrable.floor = 0.05;
        set_services(state, {service});
    }

    void submit_request(int retries) {
        const rank work_rank = retries == 0 ? rank::urgent : rank::deferrable;
        request_spec spec =
            test_support::request("r" + std::to_string(next++), work_rank, time.now());
        spec.expected_output_tokens = output_tokens;
        REQUIRE(submit(state, policy, spec, time.now()));
        submitted[spec.id] = retries;
    }

    void end_due() {
        streams.end_due(state, policy, output_tokens, time.now());
        while (!pending_retries.empty() && pending_retries.begin()->first <= time.now()) {
            submit_request(pending_retries.begin()->second);
            pending_retries.erase(pending_retries.begin());
        }
    }

    void handle_refusal(const refusal& refused) {
        const int retries = submitted[refused.request];
        if (retries > 0) {
            ++refused_finally;
            return;
        }
        pending_retries.emplace(time.now() + refused.retry_after, retries + 1);
    }

    /// Runs the cell with evenly spaced arrivals of rate per second.
    void run(duration length, double rate) {
        const time_point until = time.now() + length;
        while (time.now() < until) {
            time.advance(5ms);
            for (arrivals_due += rate * 0.005; arrivals_due >= 1; arrivals_due -= 1) {
                submit_request(0);
            }
            end_due();
            const tick_output output = tick(state, policy, time.now());
            for (const grant& issued : output.grants) {
                (submitted[issued.request] == 0 ? on_time : served_late) += 1;
                streams.prefill_ends.emplace(time.now() + 150ms, issued.request);
            }
            for (const refusal& refused : output.refusals) {
                handle_refusal(refused);
            }
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(burst_fixture, "burst of three seconds at twice the capacity, retries are spread "
                                 "over the free capacity") {
    run(5s, 13);
    REQUIRE(refused_finally == 0);
    run(3s, 52);
    run(10s, 13);
    const int retried = served_late + refused_finally;
    REQUIRE(retried > 40);
    // Half of the capacity is left after the burst: 13 requests per second for the four seconds of
    // retries and the 2.4 s that the last of them wait.
    const int free_capacity = 13 * 6;
    CHECK(served_late >= 0.8 * std::min(retried, free_capacity));
}

TEST_CASE_FIXTURE(burst_fixture, "retry_after, low load, short delay") {
    run(2s, 5);
    CHECK(internal::retry_after(state, policy) <= 600ms);
    CHECK(internal::retry_after(state, policy) >= 300ms);
}

TEST_CASE_FIXTURE(burst_fixture, "retry_after, demand beyond the capacity, maximum delay") {
    run(3s, 80);
    const duration delay = internal::retry_after(state, policy);
    CHECK(delay >= policy.max_retry_after / 2);
    CHECK(delay <= policy.max_retry_after);
}

TEST_CASE_FIXTURE(burst_fixture, "scheduled retries that do not arrive, expire") {
    run(3s, 60);
    pending_retries.clear();
    REQUIRE(state.scheduled_retries.sum.requests > 0);
    run(6s, 1);
    CHECK(state.scheduled_retries.sum.requests == 0);
    CHECK(state.scheduled_retries.sum.prefill_seconds == 0);
}
