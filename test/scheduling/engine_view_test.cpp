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
    engine& at(const std::string& id) { return *state.engines.find(backend_id{id}); }
    void fail_once(const std::string& id) {
        const grant issued = granted(test_support::request(id, rank::urgent, time.now()));
        const auto ended = issued.prefill == backend_id{"prefill-0"} ? outcome::prefill_failed
                                                                     : outcome::superseded;
        release(state, policy, issued.request, ended, 0, time.now());
        answer("prefill-0");
    }
    /// A load report taken now.
    void answer(const std::string& id) {
        time.advance(1ms);
        load_report told;
        told.backend = backend_id{id};
        told.sequence = static_cast<std::uint64_t>(time.now().time_since_epoch().count());
        told.taken_at = time.now();
        ingest_load(state, told, time.now());
    }
    /// \returns the decode engine that failed the request
    backend_id break_stream(const std::string& id) {
        const grant issued = granted(test_support::request(id, rank::urgent, time.now()));
        release(state, policy, issued.request, outcome::decode_failed, 0, time.now());
        return issued.decode;
    }
    /// Lets the links take a transfer first.
    /// \returns the decode engine granted to a request that is then withdrawn
    backend_id next_decode(const std::string& id) {
        time.advance(80ms);
        const grant issued = granted(test_support::request(id, rank::urgent, time.now()));
        withdraw(state, issued.request, time.now());
        return issued.decode;
    }
    void eject_first() {
        for (int count = 0; at("prefill-0").health == health::healthy; ++count) {
            REQUIRE(count < 20);
            fail_once("f" + std::to_string(count));
        }
    }
    load_report report(const std::string& id, std::uint64_t sequence, std::uint32_t running) {
        load_report told;
        told.backend = backend_id{id};
        told.sequence = sequence;
        told.taken_at = time.now() - 300ms;
        told.running = running;
        return told;
    }
};

} // namespace

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, three failures in a row, ejected, then probed") {
    eject_first();
    for (int count = 0; count < 5; ++count) {
        const grant other =
            granted(test_support::request("o" + std::to_string(count), rank::urgent, time.now()));
        CHECK(other.prefill == backend_id{"prefill-1"});
        withdraw(state, other.request, time.now());
    }
    step(2s);
    CHECK(at("prefill-0").health == health::probing);
    const grant probe = granted(test_support::request("probe", rank::urgent, time.now()));
    REQUIRE(probe.prefill == backend_id{"prefill-0"});
    prefill_finished(state, probe.request, 0, time.now());
    CHECK(at("prefill-0").health == health::healthy);
}

TEST_CASE_FIXTURE(two_prefill_fixture,
                  "prefill engines, all out of reach, decode engines read prompts") {
    policy.max_hold_time = 10ms;
    for (engine& on : state.engines.rows()) {
        on.spec.prefill_tokens_per_second = std::max(on.spec.prefill_tokens_per_second, 1000.0);
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
    CHECK(at("prefill-0").health == health::ejected);
    CHECK(at("prefill-1").health == health::ejected);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, stream broke there, held back until it reports") {
    const backend_id failed = break_stream("r");
    for (int count = 0; count < 3; ++count) {
        CHECK(next_decode("o" + std::to_string(count)) != failed);
    }
    ingest_load(state, report(failed.str(), 1, 0), time.now());
    CHECK(next_decode("before") != failed);
    answer(failed.str());
    CHECK(next_decode("after") == failed);
    CHECK(state.engines.find(failed)->health == health::healthy);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, prefill failed there, held back until it reports") {
    const grant issued = granted(test_support::request("r", rank::urgent, time.now()));
    release(state, policy, issued.request, outcome::prefill_failed, 0, time.now());
    const grant next = granted(test_support::request("s", rank::urgent, time.now()));
    CHECK(next.prefill != issued.prefill);
    withdraw(state, next.request, time.now());
    answer(issued.prefill.str());
    step(200ms);
    CHECK(granted(test_support::request("t", rank::urgent, time.now())).prefill == issued.prefill);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, failed and no report follows, hold ends") {
    const backend_id failed = break_stream("r");
    step(policy.max_hold_time - 100ms);
    CHECK(next_decode("before") != failed);
    step(20ms);
    CHECK(next_decode("after") == failed);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, replacement fails too, third takes over") {
    const backend_id first = break_stream("r1");
    const backend_id second = break_stream("r2");
    const backend_id third = next_decode("r3");
    CHECK(first != second);
    CHECK(third != first);
    CHECK(third != second);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, fails as the last one open, not held back") {
    break_stream("r1");
    break_stream("r2");
    const backend_id last = break_stream("r3");
    CHECK(next_decode("r4") == last);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, silent prefill, counted as failed once") {
    const grant issued = granted(test_support::request("r", rank::urgent, time.now()));
    step(3s);
    step(1s);
    CHECK(state.engines.find(issued.prefill)->failures_in_row == 1);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, five times slower than predicted, scale follows") {
    for (int count = 0; count < 20; ++count) {
        const grant issued =
            granted(test_support::request("r" + std::to_string(count), rank::urgent, time.now()));
        const bool is_slow = issued.prefill == backend_id{"prefill-0"};
        time.advance(is_slow ? 750ms : 150ms);
        prefill_finished(state, issued.request, 0, time.now());
        withdraw(state, issued.request, time.now());
    }
    CHECK(at("prefill-0").prefill_scale > at("prefill-1").prefill_scale);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "engine, marked as leaving, gets no new grant, nor later") {
    mark_leaving(state, backend_id{"prefill-0"});
    for (int count = 0; count < 4; ++count) {
        const grant issued =
            granted(test_support::request("r" + std::to_string(count), rank::urgent, time.now()));
        CHECK(issued.prefill == backend_id{"prefill-1"});
        withdraw(state, issued.request, time.now());
    }
}

TEST_CASE_FIXTURE(two_prefill_fixture, "cache, prefix held by one engine, that engine is chosen") {
    ingest_cache_events(state, policy,
                        {backend_id{"prefill-1"}, incarnation{}, 0, false, {{7, true}, {8, true}}});
    const grant issued = granted(with_prefix("r", {7, 8}));
    CHECK(issued.prefill == backend_id{"prefill-1"});
    CHECK(issued.expected_cached_tokens == 2 * prefix_block_tokens);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "cache, holder is busy for long, another engine is taken") {
    ingest_cache_events(state, policy,
                        {backend_id{"prefill-1"}, incarnation{}, 0, false, {{7, true}}});
    CHECK(granted(with_prefix("r1", {7})).prefill == backend_id{"prefill-1"});
    CHECK(granted(with_prefix("r2", {7})).prefill == backend_id{"prefill-0"});
}

TEST_CASE_FIXTURE(two_prefill_fixture, "cache, gap in the events, view dropped until a snapshot") {
    const backend_id backend{"prefill-0"};
    CHECK(ingest_cache_events(state, policy, {backend, incarnation{}, 0, false, {{7, true}}}));
    CHECK_FALSE(
        ingest_cache_events(state, policy, {backend, incarnation{}, 5, false, {{8, true}}}));
    CHECK(at("prefill-0").cached.empty());
    CHECK_FALSE(
        ingest_cache_events(state, policy, {backend, incarnation{}, 6, false, {{9, true}}}));
    CHECK(ingest_cache_events(state, policy, {backend, incarnation{}, 7, true, {{9, true}}}));
    CHECK(at("prefill-0").cached.size() == 1);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "cache, engine held less than expected, view is corrected") {
    ingest_cache_events(state, policy,
                        {backend_id{"prefill-1"}, incarnation{}, 0, false, {{7, true}, {8, true}}});
    const grant issued = granted(with_prefix("r", {7, 8}));
    prefill_finished(state, issued.request, 0, time.now());
    CHECK(at("prefill-1").cached.empty());
}

TEST_CASE_FIXTURE(two_prefill_fixture, "cache, short blocks, a true hit leaves the view as it is") {
    ingest_cache_events(state, policy,
                        {backend_id{"prefill-1"}, incarnation{}, 0, false, {{7, true}, {8, true}}});
    request_spec asked = with_prefix("r", {7, 8});
    asked.block_tokens = 64;
    const grant issued = granted(asked);
    CHECK(issued.expected_cached_tokens == 128);
    prefill_finished(state, issued.request, 128, time.now());
    CHECK(at("prefill-1").cached.size() == 2);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "load report, foreign streams, counted; own ones are not") {
    ingest_load(state, report("decode-0", 1, 12), time.now());
    CHECK(at("decode-0").foreign_streams == 12);
    const grant issued = granted(test_support::request("r", rank::urgent, time.now()));
    CHECK(issued.decode != backend_id{"decode-0"});
    ingest_load(state, report(issued.decode.str(), 1, 1), time.now());
    CHECK(state.engines.find(issued.decode)->foreign_streams == 0);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "load report, own stream ended since, is not foreign") {
    const grant issued = granted(test_support::request("r", rank::urgent, time.now()));
    time.advance(150ms);
    first_token(state, issued.request, time.now());
    time.advance(1s);
    release(state, policy, issued.request, outcome::completed, 30, time.now());
    time.advance(100ms);
    ingest_load(state, report(issued.decode.str(), 1, 1), time.now());
    CHECK(state.engines.find(issued.decode)->foreign_streams == 0);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "load report, none follows, foreign load is forgotten") {
    ingest_load(state, report("decode-0", 1, 20), time.now());
    step(4s);
    CHECK(at("decode-0").foreign_streams == 20);
    step(2s);
    CHECK(at("decode-0").foreign_streams == 0);
}

TEST_CASE_FIXTURE(two_prefill_fixture, "load report, older than the last, ignored") {
    ingest_load(state, report("decode-0", 5, 3), time.now());
    ingest_load(state, report("decode-0", 4, 19), time.now());
    CHECK(at("decode-0").foreign_streams == 3);
}

TEST_CASE("tick, no prefill pool, decode engine does both") {
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

TEST_CASE("tick, plain servers, as many grants as slots and no prefill") {
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
