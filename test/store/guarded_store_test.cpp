#include "cicadahatch/store"
#include "test/support/memory_store.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using store::errc;
using store::guarded_store;
using test_support::store_fault;

constexpr std::uint64_t seed = 7;

struct guarded_fixture {
    manual_clock time;
    test_support::memory_store kept{time};
    guarded_store guarded{kept, time, {2.0, 3.0, 1.0, 1.0}, {}, seed};

    void open_circuit() {
        kept.set_fault(store_fault::unavailable);
        for (int turn = 0; turn < 5; ++turn) {
            time.advance(1s);
            REQUIRE(guarded.get("a").error() == errc::unavailable);
        }
        REQUIRE(guarded.is_circuit_open());
    }
};

} // namespace

TEST_CASE_FIXTURE(guarded_fixture, "guarded_store, burst spent, held back until the rate allows") {
    for (int call = 0; call < 3; ++call) {
        CHECK(guarded.get("a"));
    }
    const auto held = guarded.get("a");
    CHECK(held.error() == errc::rate_limited);
    CHECK(store::is_surely_not_applied(held.error()));
    CHECK(kept.calls() == 3);
    time.advance(500ms);
    CHECK(guarded.get("a"));
    CHECK(guarded.get("a").error() == errc::rate_limited);
}

TEST_CASE_FIXTURE(guarded_fixture, "guarded_store, larger budget, lets more calls pass") {
    guarded.set_budget({10.0, 5.0, 1.0, 1.0});
    time.advance(1s);
    for (int call = 0; call < 5; ++call) {
        CHECK(guarded.get("a"));
    }
    CHECK(guarded.get("a").error() == errc::rate_limited);
}

TEST_CASE_FIXTURE(guarded_fixture,
                  "guarded_store, failures in a row, circuit opens, nothing is sent") {
    open_circuit();
    const std::uint64_t calls = kept.calls();
    CHECK(guarded.swap("a", {}, "1", {}).error() == errc::circuit_open);
    CHECK(kept.calls() == calls);
}

TEST_CASE_FIXTURE(guarded_fixture, "guarded_store, replies too large, leave the circuit closed") {
    kept.set_fault(store_fault::large_reply);
    for (int turn = 0; turn < 20; ++turn) {
        time.advance(1s);
        CHECK(guarded.get("a").error() == errc::reply_too_large);
    }
    CHECK_FALSE(guarded.is_circuit_open());
}

TEST_CASE_FIXTURE(guarded_fixture, "guarded_store, store back, one probe closes the circuit") {
    open_circuit();
    kept.set_fault(store_fault::none);
    time.advance(500ms);
    CHECK(guarded.get("a"));
    CHECK_FALSE(guarded.is_circuit_open());
    CHECK(guarded.get("a").error() == errc::rate_limited);
}

TEST_CASE_FIXTURE(guarded_fixture, "guarded_store, long outage, probes get rare") {
    open_circuit();
    const std::uint64_t before = kept.calls();
    constexpr int slices = 36'000;
    for (int slice = 0; slice < slices; ++slice) {
        time.advance(100ms);
        static_cast<void>(guarded.get("a"));
    }
    // An hour holds at most 240 pauses of at least 15 s, and a few shorter ones at first.
    CHECK(kept.calls() - before < 260);
    CHECK(kept.calls() - before > 100);
}

TEST_CASE_FIXTURE(guarded_fixture,
                  "guarded_store, refused swap or lost lease, no failure of the store") {
    for (int turn = 0; turn < 10; ++turn) {
        time.advance(1s);
        CHECK(guarded.keep_alive(store::lease_id{99}).error() == errc::lease_expired);
        CHECK_FALSE(guarded.swap("a", revision{55}, "1", {})->is_swapped);
    }
    CHECK_FALSE(guarded.is_circuit_open());
}

TEST_CASE_FIXTURE(guarded_fixture, "guarded_store, continued watch, spends no token") {
    auto batch = guarded.watch("a", revision{1}, 0ms);
    for (int turn = 0; turn < 20; ++turn) {
        REQUIRE(batch);
        batch = guarded.watch("a", batch->next, 0ms);
    }
    CHECK(batch);
}

TEST_CASE("guarded_store, 410 daemons after an outage, the platform's rates are kept") {
    constexpr std::size_t daemons = 410;
    constexpr double platform_reads = 2'000;
    constexpr double platform_writes = 300;
    constexpr int slices_per_second = 10;
    constexpr int outage_seconds = 300;
    constexpr int watched_seconds = 60;
    manual_clock time;
    test_support::memory_store kept{time};
    const store::call_budget budget = store::share_budget(platform_reads, platform_writes, daemons);
    std::vector<std::unique_ptr<guarded_store>> stores;
    for (std::size_t index = 0; index < daemons; ++index) {
        stores.push_back(
            std::make_unique<guarded_store>(kept, time, budget, store::circuit_limits{}, index));
    }
    std::uint64_t most_in_outage = 0;
    std::uint64_t most_calls = 0;
    std::uint64_t most_writes = 0;
    kept.set_fault(store_fault::unavailable);
    for (int second = 0; second < outage_seconds + watched_seconds; ++second) {
        if (second == outage_seconds) {
            kept.set_fault(store_fault::none);
        }
        const std::uint64_t calls = kept.calls();
        const std::uint64_t writes = kept.writes();
        // Each daemon wants far more than its share.
        for (int slice = 0; slice < slices_per_second; ++slice) {
            time.advance(100ms);
            for (auto& store : stores) {
                static_cast<void>(store->get("a"));
                static_cast<void>(store->swap("a", revision{1}, "v", {}));
            }
        }
        constexpr int settled = 60;
        const std::uint64_t made = kept.calls() - calls;
        if (second >= settled && second < outage_seconds) {
            most_in_outage = std::max(most_in_outage, made);
        }
        if (second >= outage_seconds) {
            most_calls = std::max(most_calls, made);
            most_writes = std::max(most_writes, kept.writes() - writes);
        }
    }
    MESSAGE("most calls a second: " << most_in_outage << " in the outage, " << most_calls
                                    << " after it, of them writes " << most_writes);
    CHECK(most_in_outage < 100);
    CHECK(static_cast<double>(most_calls - most_writes) < platform_reads);
    CHECK(static_cast<double>(most_writes) < platform_writes);
}
