#include "cicadahatch/core"
#include "cicadahatch/scheduling"
#include "test/support/scheduling_cell.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;

struct cell_fixture {
    manual_clock time;
    cell_policy policy;
    cell_state state = test_support::small_cell(time.now());

    request_spec request(const std::string& id, rank work_rank = rank::urgent) {
        return test_support::request(id, work_rank, time.now());
    }
    tick_output step(duration by = tick_period) {
        time.advance(by);
        return tick(state, policy, time.now());
    }
};

} // namespace

TEST_CASE_FIXTURE(cell_fixture,
                  "tick, idle cell, request is granted a prefill and a decode engine") {
    REQUIRE(submit(state, policy, request("r1"), time.now()));
    const tick_output output = step();
    REQUIRE(output.grants.size() == 1);
    CHECK(output.grants[0].request == request_id{"r1"});
    CHECK(output.grants[0].prefill == backend_id{"prefill-0"});
    CHECK(output.grants[0].decode.str().starts_with("decode-"));
    CHECK(output.grants[0].predicted_first_token > 100ms);
    CHECK(output.refusals.empty());
}

TEST_CASE_FIXTURE(cell_fixture,
                  "submit, duplicate identifier, rejected while waiting and running") {
    REQUIRE(submit(state, policy, request("r1"), time.now()));
    CHECK(submit(state, policy, request("r1"), time.now()).error() == errc::duplicate_request);
    CHECK(step().grants.size() == 1);
    CHECK(submit(state, policy, request("r1"), time.now()).error() == errc::duplicate_request);
}

TEST_CASE_FIXTURE(cell_fixture, "tick, prefill engine busy, next request waits until it is free") {
    REQUIRE(submit(state, policy, request("r1"), time.now()));
    REQUIRE(submit(state, policy, request("r2"), time.now()));
    CHECK(step().grants.size() == 1);
    CHECK(step().grants.empty());
    prefill_finished(state, request_id{"r1"}, 0, time.now());
    CHECK(step().grants.size() == 1);
}

TEST_CASE_FIXTURE(cell_fixture, "tick, requests of both ranks waiting, urgent is granted first") {
    REQUIRE(submit(state, policy, request("d", rank::deferrable), time.now()));
    REQUIRE(submit(state, policy, request("u", rank::urgent), time.now()));
    const tick_output output = step();
    REQUIRE(output.grants.size() == 1);
    CHECK(output.grants[0].request == request_id{"u"});
}

TEST_CASE_FIXTURE(cell_fixture,
                  "withdraw, waiting and granted requests, leaves no queue entry or reservation") {
    REQUIRE(submit(state, policy, request("r1"), time.now()));
    CHECK(step().grants.size() == 1);
    REQUIRE(submit(state, policy, request("r2"), time.now()));
    CHECK_FALSE(withdraw(state, request_id{"r2"}, time.now()).has_value());
    CHECK(withdraw(state, request_id{"r1"}, time.now()).has_value());
    CHECK(state.waiting.empty());
    for (const engine& instance : state.engines.rows()) {
        CHECK(instance.prefills + instance.streams + instance.reserved_pieces == 0);
    }
}

TEST_CASE_FIXTURE(cell_fixture,
                  "tick, engines lost after admission, request is refused by its target") {
    REQUIRE(submit(state, policy, request("r1"), time.now()));
    REQUIRE(submit(state, policy, request("r2"), time.now()));
    CHECK(step().grants.size() == 1);
    mark_leaving(state, backend_id{"prefill-0"});
    std::vector<refusal> refusals;
    for (duration passed{0}; refusals.empty(); passed += tick_period) {
        REQUIRE(passed < 1500ms);
        refusals = step().refusals;
    }
    CHECK(refusals[0].request == request_id{"r2"});
    CHECK(refusals[0].reason == errc::target_unreachable);
    CHECK(refusals[0].retry_after > 0ms);
}

TEST_CASE_FIXTURE(cell_fixture,
                  "tick, caller's deadline passes, request is refused with deadline_passed") {
    REQUIRE(submit(state, policy, request("r1", rank::deferrable), time.now()));
    request_spec spec = request("r2", rank::deferrable);
    spec.deadline = time.now() + 20ms;
    REQUIRE(submit(state, policy, spec, time.now()));
    CHECK(step().grants.size() == 1);
    const tick_output output = step(20ms);
    REQUIRE(output.refusals.size() == 1);
    CHECK(output.refusals[0].reason == errc::deadline_passed);
}

TEST_CASE_FIXTURE(cell_fixture,
                  "tick, target unreachable even when idle, request runs as best effort") {
    request_spec spec = request("r1");
    spec.prompt_tokens = 65'000;
    REQUIRE(submit(state, policy, spec, time.now()));
    CHECK(step().grants.size() == 1);
}

TEST_CASE_FIXTURE(cell_fixture,
                  "submit, request exceeds every engine's memory, rejected as too large") {
    request_spec spec = request("r1");
    spec.prompt_tokens = 400'000;
    CHECK(submit(state, policy, spec, time.now()).error() == errc::too_large);
}

TEST_CASE_FIXTURE(cell_fixture, "tick, larger batch would miss a stream's target, request waits") {
    request_spec tight = request("r1");
    tight.between_tokens = 11ms; // met only by a batch of one
    for (engine& instance : state.engines.rows()) {
        instance.is_leaving = instance.id == backend_id{"decode-1"};
    }
    REQUIRE(submit(state, policy, tight, time.now()));
    CHECK(step().grants.size() == 1);
    prefill_finished(state, request_id{"r1"}, 0, time.now());
    REQUIRE(submit(state, policy, request("r2"), time.now()));
    CHECK(step().grants.empty());
    release(state, policy, request_id{"r1"}, outcome::completed, 200, time.now());
    CHECK(step().grants.size() == 1);
}
