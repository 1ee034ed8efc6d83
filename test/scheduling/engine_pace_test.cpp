#include "cicadahatch/core"
#include "cicadahatch/scheduling"
#include "test/support/scheduling_cell.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;

struct engine_pace_fixture {
    manual_clock time;
    cell_policy policy;
    cell_state state = test_support::small_cell(time.now(), 4, 1);
    std::vector<request_id> granted;
    int submitted = 0;

    static engine_spec slow_starting(engine_spec spec) {
        spec.initial_starts = 2;
        return spec;
    }
    /// Adds a second decode engine to the cell, as a release does.
    void add_engine() {
        std::vector<engine_spec> engines;
        for (const engine& known : state.engines.rows()) {
            engines.push_back(slow_starting(known.spec));
        }
        engines.push_back(slow_starting(test_support::decode_engine("added")));
        set_engines(state, engines, time.now());
    }
    /// Submits requests and ticks until no more are granted.
    void submit_requests(int count) {
        for (int index = 0; index < count; ++index) {
            const auto spec =
                test_support::request("r" + std::to_string(++submitted), rank::urgent, time.now());
            static_cast<void>(submit(state, policy, spec, time.now()));
        }
        for (int turn = 0; turn < 40; ++turn) {
            time.advance(tick_period);
            record_owner_heartbeat(state, daemon_id{"daemon"}, time.now());
            for (const grant& issued : tick(state, policy, time.now()).grants) {
                granted.push_back(issued.request);
                if (issued.prefill != issued.decode) {
                    prefill_finished(state, issued.request, 0, time.now());
                }
            }
        }
    }
    [[nodiscard]] std::uint32_t streams_at(const std::string& id) const {
        return state.engines.find(backend_id{id})->streams;
    }
    void report_first_tokens() {
        for (const request_id& request : granted) {
            first_token(state, request, time.now());
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(engine_pace_fixture,
                  "set_engines, new engine, two streams may start before the first token") {
    add_engine();
    submit_requests(12);
    CHECK(streams_at("added") == 2);
    CHECK(streams_at("decode-0") > 2);
}

TEST_CASE_FIXTURE(engine_pace_fixture, "first_token, new engine answers, more streams may start") {
    add_engine();
    submit_requests(6);
    report_first_tokens();
    submit_requests(12);
    CHECK(streams_at("added") > 4);
}

TEST_CASE_FIXTURE(engine_pace_fixture,
                  "set_engines, pacing is off, new engine takes streams at once") {
    std::vector<engine_spec> engines;
    for (const engine& known : state.engines.rows()) {
        engines.push_back(known.spec);
    }
    engines.push_back(test_support::decode_engine("added"));
    set_engines(state, engines, time.now());
    submit_requests(12);
    CHECK(streams_at("added") > 2);
}
