#include "cicadahatch/core"
#include "cicadahatch/scheduling"
#include "test/support/scheduling_cell.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;

/// A cell whose prefills take 150 ms and whose streams end 1 s later.
struct busy_cell_fixture {
    manual_clock time;
    cell_policy policy;
    cell_state state = test_support::small_cell(time.now());
    test_support::granted_streams streams;
    std::map<team_id, double> granted_tokens;
    std::map<rank, double> granted_seconds;
    std::map<request_id, request_spec> submitted;
    duration longest_wait{0}; ///< of granted requests
    std::size_t next = 0;

    void submit_request(rank work_rank, const std::string& team, std::uint32_t prompt_tokens) {
        request_spec spec =
            test_support::request("r" + std::to_string(next++), work_rank, time.now());
        spec.team = team_id{team};
        spec.prompt_tokens = prompt_tokens;
        REQUIRE(submit(state, policy, spec, time.now()));
        submitted[spec.id] = spec;
    }

    std::size_t waiting(rank work_rank) const {
        return state.ranks[rank_index(work_rank)].waiting.requests;
    }

    /// Refills the team's queue to six requests.
    void refill_queue(const std::string& team, std::uint32_t prompt_tokens) {
        const rank_queue& queue = state.ranks[rank_index(rank::deferrable)];
        const service_queue& service = *queue.services.find(service_id{"notes"});
        const auto level = service.levels.find(0);
        std::size_t count = 0;
        if (level != service.levels.end()) {
            const auto found = level->second.teams.find(team_id{team});
            count = found == level->second.teams.end() ? 0 : found->second.waiting.requests;
        }
        for (; count < 6; ++count) {
            submit_request(rank::deferrable, team, prompt_tokens);
        }
    }

    void step() {
        time.advance(tick_period);
        streams.end_due(state, policy, 200, time.now());
        for (const grant& issued : tick(state, policy, time.now()).grants) {
            const request_spec& spec = submitted[issued.request];
            const live_grant* held = state.grants.find(issued.request);
            granted_tokens[spec.team] += spec.prompt_tokens;
            granted_seconds[spec.rank] += held->cost;
            longest_wait = std::max(longest_wait, time.now() - spec.arrived);
            streams.prefill_ends.emplace(
                time.now() + std::chrono::microseconds{spec.prompt_tokens * 25}, issued.request);
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(busy_cell_fixture,
                  "urgent overload, deferrable requests waiting, floor is guaranteed") {
    double capacity = 0;
    for (int count = 0; count < 4'000; ++count) {
        while (waiting(rank::urgent) < 6) {
            submit_request(rank::urgent, "u", 6'000);
        }
        while (waiting(rank::deferrable) < 6) {
            submit_request(rank::deferrable, "d", 6'000);
        }
        step();
        capacity += 0.005 * state.capacity.engine_seconds;
    }
    CHECK(granted_seconds[rank::deferrable] >= 0.9 * 0.25 * capacity);
    CHECK(granted_seconds[rank::urgent] > granted_seconds[rank::deferrable]);
}

TEST_CASE_FIXTURE(busy_cell_fixture,
                  "teams, prompts four times as long, engine seconds are equal") {
    for (int count = 0; count < 4'000; ++count) {
        refill_queue("long", 8'000);
        refill_queue("short", 2'000);
        step();
    }
    std::map<team_id, double> seconds = granted_tokens;
    // The cost of a request is its prefill and its decode; both teams have the same decode cost.
    const double decode = 200 * 0.03 / 20;
    const auto cost = [&](const std::string& team, double tokens) {
        const double requests = seconds[team_id{team}] / tokens;
        return requests * (tokens / 40'000 + decode);
    };
    CHECK(cost("long", 8'000) / cost("short", 2'000) == doctest::Approx(1).epsilon(0.15));
}

TEST_CASE_FIXTURE(busy_cell_fixture,
                  "deferrable overload, no request waits past its target, others are refused") {
    std::size_t refused = 0;
    for (int count = 0; count < 3'000; ++count) {
        submit_request(rank::deferrable, "flood", 6'000);
        time.advance(tick_period);
        streams.end_due(state, policy, 200, time.now());
        const tick_output output = tick(state, policy, time.now());
        for (const grant& issued : output.grants) {
            longest_wait = std::max(longest_wait, time.now() - submitted[issued.request].arrived);
            streams.prefill_ends.emplace(time.now() + 150ms, issued.request);
        }
        for (const refusal& refused_one : output.refusals) {
            ++refused;
            CHECK(refused_one.reason == errc::target_unreachable);
            CHECK(refused_one.retry_after > 0ms);
        }
        for (const waiting_request& request : state.waiting.rows()) {
            REQUIRE(time.now() - request.spec.arrived <= request.spec.first_token);
        }
    }
    CHECK(refused > 1'000);
    CHECK(longest_wait < 8s);
}
