#include "cicadahatch/core"
#include "cicadahatch/scheduling"
#include "test/support/scheduling_cell.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;

struct two_prefill_fixture {
    manual_clock time;
    cell_policy policy;
    cell_state state = test_support::small_cell(time.now(), 2, 3);

    tick_output step(duration by = tick_period) {
        time.advance(by);
        record_owner_heartbeat(state, daemon_id{"daemon"}, time.now());
        return tick(state, policy, time.now());
    }
    request_spec with_prefix(const std::string& id, std::vector<std::uint64_t> hashes) const {
        request_spec spec = test_support::request(id, rank::urgent, time.now());
        spec.prefix_hashes = std::move(hashes);
        return spec;
    }
    grant granted(const request_spec& spec) {
        REQUIRE(submit(state, policy, spec, time.now()));
        const tick_output output = step();
        REQUIRE(output.grants.size() == 1);
        return output.grants.front();
    }
    engine& engine_at(const std::string& id) { return *state.engines.find(backend_id{id}); }
    void fail_prefill(const std::string& id) {
        const grant issued = granted(test_support::request(id, rank::urgent, time.now()));
        const auto ended = issued.prefill == backend_id{"prefill-0"} ? outcome::prefill_failed
                                                                     : outcome::superseded;
        release(state, policy, issued.request, ended, 0, time.now());
        report_now("prefill-0");
    }
    /// Applies a load report taken now.
    void report_now(const std::string& id) {
        time.advance(1ms);
        load_report result;
        result.backend = backend_id{id};
        result.sequence = static_cast<std::uint64_t>(time.now().time_since_epoch().count());
        result.taken_at = time.now();
        ingest_load(state, result, time.now());
    }
    /// Fails the decode of a new request.
    /// \returns the decode engine of the request
    backend_id fail_decode(const std::string& id) {
        const grant issued = granted(test_support::request(id, rank::urgent, time.now()));
        release(state, policy, issued.request, outcome::decode_failed, 0, time.now());
        return issued.decode;
    }
    /// Waits for idle links, then grants and withdraws a request.
    /// \returns the decode engine of the grant
    backend_id next_decode(const std::string& id) {
        time.advance(80ms);
        const grant issued = granted(test_support::request(id, rank::urgent, time.now()));
        withdraw(state, issued.request, time.now());
        return issued.decode;
    }
    void eject_first_prefill_engine() {
        for (int count = 0; engine_at("prefill-0").health == health::healthy; ++count) {
            REQUIRE(count < 20);
            fail_prefill("f" + std::to_string(count));
        }
    }
    load_report report(const std::string& id, std::uint64_t sequence, std::uint32_t running) {
        load_report result;
        result.backend = backend_id{id};
        result.sequence = sequence;
        result.taken_at = time.now() - 300ms;
        result.running = running;
        return result;
    }
};

} // namespace

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "engine, three consecutive failures, ejected and later probed") {
    eject_first_prefill_engine();
    for (int count = 0; count < 5; ++count) {
        const grant other =
            granted(test_support::request("o" + std::to_string(count), rank::urgent, time.now()));
        CHECK(other.prefill == backend_id{"prefill-1"});
        withdraw(state, other.request, time.now());
    }
    step(2s);
    CHECK(engine_at("prefill-0").health == health::probing);
    const grant probe = granted(test_support::request("probe", rank::urgent, time.now()));
    REQUIRE(probe.prefill == backend_id{"prefill-0"});
    prefill_finished(state, probe.request, 0, time.now());
    CHECK(engine_at("prefill-0").health == health::healthy);
}

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "prefill engines, all fail, decode engines run the prefills") {
    policy.max_hold_time = 10ms;
    for (engine& instance : state.engines.rows()) {
        instance.spec.prefill_tokens_per_second =
            std::max(instance.spec.prefill_tokens_per_second, 1000.0);
    }
    std::optional<grant> last;
    for (int count = 0; count < 200 && !(last && last->prefill == last->decode); ++count) {
        const std::string name = "f" + std::to_string(count);
        REQUIRE(submit(state, policy, test_support::request(name, rank::urgent, time.now()),
                       time.now()));
        for (const grant& issued : step(10ms).grants) {
            last = issued;
            if (issued.prefill != issued.decode) {
                release(state, policy, issued.request, outcome::prefill_failed, 0, time.now());
            }
        }
    }
    REQUIRE(last);
    CHECK(last->prefill == last->decode);
    CHECK(engine_at("prefill-0").health == health::ejected);
    CHECK(engine_at("prefill-1").health == health::ejected);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, decode failed, held back until its next report") {
    const backend_id failed = fail_decode("r");
    for (int count = 0; count < 3; ++count) {
        CHECK(next_decode("o" + std::to_string(count)) != failed);
    }
    ingest_load(state, report(failed.str(), 1, 0), time.now());
    CHECK(next_decode("before") != failed);
    report_now(failed.str());
    CHECK(next_decode("after") == failed);
    CHECK(state.engines.find(failed)->health == health::healthy);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, prefill failed, held back until its next report") {
    const grant issued = granted(test_support::request("r", rank::urgent, time.now()));
    release(state, policy, issued.request, outcome::prefill_failed, 0, time.now());
    const grant next = granted(test_support::request("s", rank::urgent, time.now()));
    CHECK(next.prefill != issued.prefill);
    withdraw(state, next.request, time.now());
    report_now(issued.prefill.str());
    step(200ms);
    CHECK(granted(test_support::request("t", rank::urgent, time.now())).prefill == issued.prefill);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, failed without a later report, hold times out") {
    const backend_id failed = fail_decode("r");
    step(policy.max_hold_time - 100ms);
    CHECK(next_decode("before") != failed);
    step(20ms);
    CHECK(next_decode("after") == failed);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, two engines fail, third is chosen") {
    const backend_id first = fail_decode("r1");
    const backend_id second = fail_decode("r2");
    const backend_id third = next_decode("r3");
    CHECK(first != second);
    CHECK(third != first);
    CHECK(third != second);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, last available one fails, not held back") {
    fail_decode("r1");
    fail_decode("r2");
    const backend_id last = fail_decode("r3");
    CHECK(next_decode("r4") == last);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, stuck prefill, counted as one failure") {
    const grant issued = granted(test_support::request("r", rank::urgent, time.now()));
    step(3s);
    step(1s);
    CHECK(state.engines.find(issued.prefill)->failures_in_row == 1);
}

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "engine, five times slower than predicted, scale increases") {
    for (int count = 0; count < 20; ++count) {
        const grant issued =
            granted(test_support::request("r" + std::to_string(count), rank::urgent, time.now()));
        const bool is_slow = issued.prefill == backend_id{"prefill-0"};
        time.advance(is_slow ? 750ms : 150ms);
        prefill_finished(state, issued.request, 0, time.now());
        withdraw(state, issued.request, time.now());
    }
    CHECK(engine_at("prefill-0").prefill_scale > engine_at("prefill-1").prefill_scale);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, marked as leaving, gets no further grants") {
    mark_leaving(state, backend_id{"prefill-0"});
    for (int count = 0; count < 4; ++count) {
        const grant issued =
            granted(test_support::request("r" + std::to_string(count), rank::urgent, time.now()));
        CHECK(issued.prefill == backend_id{"prefill-1"});
        withdraw(state, issued.request, time.now());
    }
}

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "cache, prefix cached by one engine, that engine is chosen") {
    ingest_cache_events(state, policy,
                        {backend_id{"prefill-1"}, incarnation{}, 0, false, {{7, true}, {8, true}}});
    const grant issued = granted(with_prefix("r", {7, 8}));
    CHECK(issued.prefill == backend_id{"prefill-1"});
    CHECK(issued.expected_cached_tokens == 2 * prefix_block_tokens);
}

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "cache, engine with the prefix is busy, another engine is chosen") {
    ingest_cache_events(state, policy,
                        {backend_id{"prefill-1"}, incarnation{}, 0, false, {{7, true}}});
    CHECK(granted(with_prefix("r1", {7})).prefill == backend_id{"prefill-1"});
    CHECK(granted(with_prefix("r2", {7})).prefill == backend_id{"prefill-0"});
}

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "cache, gap in the events, view is cleared until a snapshot") {
    const backend_id backend{"prefill-0"};
    CHECK(ingest_cache_events(state, policy, {backend, incarnation{}, 0, false, {{7, true}}}));
    CHECK_FALSE(
        ingest_cache_events(state, policy, {backend, incarnation{}, 5, false, {{8, true}}}));
    CHECK(engine_at("prefill-0").cached.empty());
    CHECK_FALSE(
        ingest_cache_events(state, policy, {backend, incarnation{}, 6, false, {{9, true}}}));
    CHECK(ingest_cache_events(state, policy, {backend, incarnation{}, 7, true, {{9, true}}}));
    CHECK(engine_at("prefill-0").cached.size() == 1);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "cache, fewer cache hits than expected, view is corrected") {
    ingest_cache_events(state, policy,
                        {backend_id{"prefill-1"}, incarnation{}, 0, false, {{7, true}, {8, true}}});
    const grant issued = granted(with_prefix("r", {7, 8}));
    prefill_finished(state, issued.request, 0, time.now());
    CHECK(engine_at("prefill-1").cached.empty());
}

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "cache, short blocks, expected hit leaves the view unchanged") {
    ingest_cache_events(state, policy,
                        {backend_id{"prefill-1"}, incarnation{}, 0, false, {{7, true}, {8, true}}});
    request_spec asked = with_prefix("r", {7, 8});
    asked.block_tokens = 64;
    const grant issued = granted(asked);
    CHECK(issued.expected_cached_tokens == 128);
    prefill_finished(state, issued.request, 128, time.now());
    CHECK(engine_at("prefill-1").cached.size() == 2);
}

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "load report, streams of other homes, counted separately from own") {
    ingest_load(state, report("decode-0", 1, 12), time.now());
    CHECK(engine_at("decode-0").foreign_streams == 12);
    const grant issued = granted(test_support::request("r", rank::urgent, time.now()));
    CHECK(issued.decode != backend_id{"decode-0"});
    ingest_load(state, report(issued.decode.str(), 1, 1), time.now());
    CHECK(state.engines.find(issued.decode)->foreign_streams == 0);
}

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "load report, own stream ended after the report, not counted as foreign") {
    const grant issued = granted(test_support::request("r", rank::urgent, time.now()));
    time.advance(150ms);
    first_token(state, issued.request, time.now());
    time.advance(1s);
    release(state, policy, issued.request, outcome::completed, 30, time.now());
    time.advance(100ms);
    ingest_load(state, report(issued.decode.str(), 1, 1), time.now());
    CHECK(state.engines.find(issued.decode)->foreign_streams == 0);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "load report, no later report, foreign load expires") {
    ingest_load(state, report("decode-0", 1, 20), time.now());
    step(4s);
    CHECK(engine_at("decode-0").foreign_streams == 20);
    step(2s);
    CHECK(engine_at("decode-0").foreign_streams == 0);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "load report, older than the last one, ignored") {
    ingest_load(state, report("decode-0", 5, 3), time.now());
    ingest_load(state, report("decode-0", 4, 19), time.now());
    CHECK(engine_at("decode-0").foreign_streams == 3);
}

TEST_CASE("tick, no prefill pool, decode engine runs both stages") {
    manual_clock time;
    cell_policy policy;
    engine_spec both = test_support::decode_engine("decode-0");
    both.prefill_tokens_per_second = 40'000;
    service_spec service;
    service.id = service_id{"notes"};
    service.urgent = {1500ms, 45ms, 1, 0};
    cell_state state =
        cell_builder{}.id(cell_id{"cell"}).engines({both}).services({service}).build(time.now());
    REQUIRE(
        submit(state, policy, test_support::request("r", rank::urgent, time.now()), time.now()));
    const tick_output output = tick(state, policy, time.now());
    REQUIRE(output.grants.size() == 1);
    CHECK(output.grants[0].prefill == output.grants[0].decode);
}

TEST_CASE("tick, plain servers, one grant per slot without prefill") {
    manual_clock time;
    cell_policy policy;
    engine_spec server;
    server.id = backend_id{"booking-0"};
    server.role = backend_role::plain;
    server.slots = 2;
    service_spec service;
    service.id = service_id{"notes"};
    service.urgent = {2s, 0ms, 1, 0};
    cell_state state =
        cell_builder{}.id(cell_id{"cell"}).engines({server}).services({service}).build(time.now());
    for (const char* id : {"r1", "r2", "r3"}) {
        request_spec spec = test_support::request(id, rank::urgent, time.now());
        spec.prompt_tokens = 0;
        spec.expected_output_tokens = 0;
        REQUIRE(submit(state, policy, spec, time.now()));
    }
    const tick_output output = tick(state, policy, time.now());
    REQUIRE(output.grants.size() == 2);
    CHECK(output.grants[0].prefill.empty());
}
