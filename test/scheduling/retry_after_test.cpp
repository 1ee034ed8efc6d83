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

/// A cell of four prefill engines, of 6.6 prompts a second each, whose callers come back once.
struct burst_fixture {
    manual_clock time;
    cell_policy policy;
    cell_state state = test_support::small_cell(time.now(), 4, 8);
    test_support::granted_streams streams;
    std::multimap<time_point, int> returning;
    std::map<request_id, int> asked; ///< times that the caller has come back
    std::size_t next = 0;
    int on_time = 0;
    int served_late = 0;
    int refused_for_good = 0;
    double owed = 0; ///< requests that are due to arrive, with the fraction of the next

    burst_fixture() {
        policy.min_retry_after = 300ms;
        policy.max_retry_after = 4s;
        service_spec service = *state.services.find(service_id{"notes"});
        service.urgent.first_token = 800ms;
        service.deferrable.first_token = late_target;
        service.deferrable.floor = 0.05;
        set_services(state, {service});
    }

    void ask(int returns) {
        const rank of = returns == 0 ? rank::urgent : rank::deferrable;
        request_spec spec = test_support::request("r" + std::to_string(next++), of, time.now());
        spec.expected_output_tokens = output_tokens;
        REQUIRE(submit(state, policy, spec, time.now()));
        asked[spec.id] = returns;
    }

    void end_due() {
        streams.end_due(state, policy, output_tokens, time.now());
        while (!returning.empty() && returning.begin()->first <= time.now()) {
            ask(returning.begin()->second);
            returning.erase(returning.begin());
        }
    }

    void take(const refusal& told) {
        const int returns = asked[told.request];
        if (returns > 0) {
            ++refused_for_good;
            return;
        }
        returning.emplace(time.now() + told.retry_after, returns + 1);
    }

    /// Lets requests arrive evenly, so many a second.
    void play(duration length, double rate) {
        const time_point until = time.now() + length;
        while (time.now() < until) {
            time.advance(5ms);
            for (owed += rate * 0.005; owed >= 1; owed -= 1) {
                ask(0);
            }
            end_due();
            const tick_output output = tick(state, policy, time.now());
            for (const grant& issued : output.grants) {
                (asked[issued.request] == 0 ? on_time : served_late) += 1;
                streams.prefill_ends.emplace(time.now() + 150ms, issued.request);
            }
            for (const refusal& told : output.refusals) {
                take(told);
            }
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(burst_fixture, "burst of three seconds at twice the capacity, callers come back "
                                 "when there is room") {
    play(5s, 13);
    REQUIRE(refused_for_good == 0);
    play(3s, 52);
    play(10s, 13);
    const int came_back = served_late + refused_for_good;
    REQUIRE(came_back > 40);
    // Half of the capacity is left after the burst: 13 a second for the four seconds in which
    // callers come back, and for the 2.4 s that the last of them wait.
    const int room = 13 * 6;
    CHECK(served_late >= 0.8 * std::min(came_back, room));
}

TEST_CASE_FIXTURE(burst_fixture, "calm cell, one is refused, it is told to come back soon") {
    play(2s, 5);
    CHECK(internal::retry_after(state, policy) <= 600ms);
    CHECK(internal::retry_after(state, policy) >= 300ms);
}

TEST_CASE_FIXTURE(burst_fixture, "demand beyond the capacity, callers are told the longest time") {
    play(3s, 80);
    const duration told = internal::retry_after(state, policy);
    CHECK(told >= policy.max_retry_after / 2);
    CHECK(told <= policy.max_retry_after);
}

TEST_CASE_FIXTURE(burst_fixture, "callers who were due and stay away, are forgotten") {
    play(3s, 60);
    returning.clear();
    REQUIRE(state.promised.sum.requests > 0);
    play(6s, 1);
    CHECK(state.promised.sum.requests == 0);
    CHECK(state.promised.sum.prefill_seconds == 0);
}
