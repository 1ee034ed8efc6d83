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

/// A cell of one prefill and two decode engines whose service has several levels. Prefills take
/// 150 ms and streams end 1 s later.
struct levels_fixture {
    manual_clock time;
    cell_policy policy;
    cell_state state = test_support::small_cell(time.now());
    test_support::granted_streams streams;
    std::map<request_id, request_spec> submitted;
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

    void submit_request(std::uint8_t level) {
        request_spec spec =
            test_support::request("r" + std::to_string(next++), rank::urgent, time.now());
        spec.level = level;
        spec.max_output_tokens = 2 * output_tokens;
        REQUIRE(submit(state, policy, spec, time.now()));
        submitted[spec.id] = spec;
        ++waiting[level];
    }

    /// Refills the level's queue, to keep it overloaded.
    void refill_queue(std::uint8_t level) {
        while (waiting[level] < 6) {
            submit_request(level);
        }
    }

    void step() {
        time.advance(5ms);
        streams.end_due(state, policy, output_tokens, time.now());
        const tick_output output = tick(state, policy, time.now());
        engine_seconds += state.capacity.engine_seconds / ticks_a_second;
        for (const grant& issued : output.grants) {
            const std::uint8_t level = submitted[issued.request].level;
            ++granted[level];
            --waiting[level];
            granted_seconds[level] += state.grants.find(issued.request)->cost;
            streams.prefill_ends.emplace(time.now() + 150ms, issued.request);
        }
        for (const refusal& refused : output.refusals) {
            --waiting[submitted[refused.request].level];
        }
    }

    /// Submits more streams than fit into the engines' memory. No stream ends.
    /// \returns the number of concurrent streams
    std::size_t fill_memory(std::uint8_t level) {
        for (int count = 0; count < 60; ++count) {
            submit_request(level);
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

TEST_CASE_FIXTURE(levels_fixture,
                  "three levels overloaded, first is served most and none starves") {
    for (int count = 0; count < 20 * ticks_a_second; ++count) {
        refill_queue(0);
        refill_queue(1);
        refill_queue(2);
        step();
        REQUIRE(test_support::find_fault(state) == test_support::cell_fault::none);
    }
    CHECK(granted[0] > granted[1] + granted[2]);
    // A floor is a fraction of the cell's engine seconds; the tolerance covers whole requests.
    CHECK(granted_seconds[1] >= 0.9 * level_floor * engine_seconds);
    CHECK(granted_seconds[2] >= 0.9 * level_floor * engine_seconds);
}

TEST_CASE_FIXTURE(levels_fixture, "first level idle, next level gets its capacity") {
    for (int count = 0; count < 20 * ticks_a_second; ++count) {
        refill_queue(1);
        refill_queue(3);
        step();
    }
    CHECK(granted[1] > 3 * granted[3]);
    CHECK(granted[3] > 0);
}

TEST_CASE_FIXTURE(levels_fixture,
                  "higher-priority request arrives, overtakes a waiting lower level") {
    submit_request(1);
    submit_request(1);
    step();
    REQUIRE(granted[1] == 1);
    submit_request(0);
    while (granted[0] + granted[1] < 2) {
        step();
    }
    CHECK(granted[0] == 1);
    CHECK(granted[1] == 1);
}

TEST_CASE_FIXTURE(memory_levels_fixture, "single active level, any number, gets all memory") {
    const std::size_t of_first = memory_levels_fixture{}.fill_memory(0);
    CHECK(memory_levels_fixture{}.fill_memory(4) == of_first);
}

TEST_CASE_FIXTURE(memory_levels_fixture,
                  "higher-priority request arrives, memory is reserved for its level") {
    memory_levels_fixture alone;
    const std::size_t whole = alone.fill_memory(1);
    submit_request(0);
    step();
    CHECK(fill_memory(1) < whole);
}

TEST_CASE_FIXTURE(levels_fixture,
                  "first level overloaded, next level is predicted a smaller fraction") {
    for (int count = 0; count < 5 * ticks_a_second; ++count) {
        refill_queue(0);
        step();
    }
    const request_spec urgent = test_support::request("a", rank::urgent, time.now());
    request_spec lower = test_support::request("b", rank::urgent, time.now());
    lower.level = 1;
    const work_amount ahead_of_urgent = internal::work_ahead(state, urgent);
    const work_amount ahead_of_lower = internal::work_ahead(state, lower);
    CHECK(ahead_of_urgent.requests == ahead_of_lower.requests);
    CHECK(internal::level_fraction(state, lower) < internal::level_fraction(state, urgent));
    CHECK(internal::level_fraction(state, lower) >= level_floor);
}
