#include "cicadahatch/core"
#include "cicadahatch/scheduling"
#include "src/scheduling/internal/prediction.hpp"
#include "test/support/scheduling_cell.hpp"
#include "test/support/scheduling_invariants.hpp"

#include <doctest/doctest.h>
#include <map>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;

constexpr double level_floor = 0.1;
constexpr std::uint32_t output_tokens = 200;
constexpr int ticks_a_second = 200;

/// A cell of one prefill and two decode engines whose service has any number of levels. Prefills
/// take 150 ms and streams end 1 s after that.
struct levels_fixture {
    manual_clock time;
    cell_policy policy;
    cell_state state = test_support::small_cell(time.now());
    test_support::granted_streams streams;
    std::map<request_id, request_spec> asked;
    std::map<std::uint8_t, int> granted;
    std::map<std::uint8_t, int> waiting;
    double engine_seconds = 0;
    std::map<std::uint8_t, double> granted_seconds;
    std::size_t next = 0;

    levels_fixture() {
        service_spec service = *state.services.find(service_id{"notes"});
        service.urgent.level_floor = level_floor;
        set_services(state, {service});
    }

    void ask(std::uint8_t level) {
        request_spec spec =
            test_support::request("r" + std::to_string(next++), rank::urgent, time.now());
        spec.level = level;
        spec.max_output_tokens = 2 * output_tokens;
        REQUIRE(submit(state, policy, spec, time.now()));
        asked[spec.id] = spec;
        ++waiting[level];
    }

    /// A flood: the level never runs out of requests that wait.
    void keep_waiting(std::uint8_t level) {
        while (waiting[level] < 6) {
            ask(level);
        }
    }

    void step() {
        time.advance(5ms);
        streams.end_due(state, policy, output_tokens, time.now());
        const tick_output output = tick(state, policy, time.now());
        engine_seconds += state.capacity.engine_seconds / ticks_a_second;
        for (const grant& issued : output.grants) {
            const std::uint8_t level = asked[issued.request].level;
            ++granted[level];
            --waiting[level];
            granted_seconds[level] += state.grants.find(issued.request)->cost;
            streams.prefill_ends.emplace(time.now() + 150ms, issued.request);
        }
        for (const refusal& told : output.refusals) {
            --waiting[asked[told.request].level];
        }
    }

    /// Asks for more streams than the engines' memory holds, none of which ends.
    /// \returns how many run together
    std::size_t fill(std::uint8_t level) {
        for (int count = 0; count < 60; ++count) {
            ask(level);
            time.advance(150ms);
            static_cast<void>(tick(state, policy, time.now()));
            std::vector<request_id> running;
            for (const live_grant& held : state.grants.rows()) {
                running.push_back(held.id);
            }
            for (const request_id& request : running) {
                prefill_finished(state, request, 0, time.now());
                first_token(state, request, time.now());
            }
        }
        return state.grants.size();
    }
};

struct memory_levels_fixture : levels_fixture {
    memory_levels_fixture() {
        policy.forecasts_memory = true;
        policy.urgent_reserve = 0.3;
    }
};

} // namespace

TEST_CASE_FIXTURE(levels_fixture, "three levels flood, the first is served most, none starves") {
    for (int count = 0; count < 20 * ticks_a_second; ++count) {
        keep_waiting(0);
        keep_waiting(1);
        keep_waiting(2);
        step();
        REQUIRE(test_support::find_fault(state) == test_support::cell_fault::none);
    }
    CHECK(granted[0] > granted[1] + granted[2]);
    // A level's floor is a part of the cell's engine seconds; grants come in whole requests.
    CHECK(granted_seconds[1] >= 0.9 * level_floor * engine_seconds);
    CHECK(granted_seconds[2] >= 0.9 * level_floor * engine_seconds);
}

TEST_CASE_FIXTURE(levels_fixture, "first level away, the next takes what is left") {
    for (int count = 0; count < 20 * ticks_a_second; ++count) {
        keep_waiting(1);
        keep_waiting(3);
        step();
    }
    CHECK(granted[1] > 3 * granted[3]);
    CHECK(granted[3] > 0);
}

TEST_CASE_FIXTURE(levels_fixture, "less urgent request waits, a more urgent one comes, it passes") {
    ask(1);
    ask(1);
    step();
    REQUIRE(granted[1] == 1);
    ask(0);
    while (granted[0] + granted[1] < 2) {
        step();
    }
    CHECK(granted[0] == 1);
    CHECK(granted[1] == 1);
}

TEST_CASE_FIXTURE(memory_levels_fixture,
                  "one level alone, whatever its number, it gets all memory") {
    const std::size_t of_first = memory_levels_fixture{}.fill(0);
    CHECK(memory_levels_fixture{}.fill(4) == of_first);
}

TEST_CASE_FIXTURE(memory_levels_fixture, "more urgent work comes, memory is kept for it") {
    memory_levels_fixture alone;
    const std::size_t whole = alone.fill(1);
    ask(0);
    step();
    CHECK(fill(1) < whole);
}

TEST_CASE_FIXTURE(levels_fixture, "first level floods, the next is told to come back later") {
    for (int count = 0; count < 5 * ticks_a_second; ++count) {
        keep_waiting(0);
        step();
    }
    const request_spec urgent = test_support::request("a", rank::urgent, time.now());
    request_spec behind = test_support::request("b", rank::urgent, time.now());
    behind.level = 1;
    const work_amount before_urgent = internal::waiting_before(state, urgent);
    const work_amount before_behind = internal::waiting_before(state, behind);
    CHECK(before_urgent.requests == before_behind.requests);
    CHECK(internal::level_part(state, behind) < internal::level_part(state, urgent));
    CHECK(internal::level_part(state, behind) >= level_floor);
}
