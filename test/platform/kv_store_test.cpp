#include "platform/kv_store.hpp"
#include "src/store/error.hpp"
#include "test/support/platform_stub.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using store::errc;
using test_support::store_mode;

struct kv_store_fixture {
    test_support::platform_stub stub;
    platform::kv_store store{stub.store(), 200ms};
};

} // namespace

TEST_CASE_FIXTURE(kv_store_fixture, "swap, key absent as expected, writes the key") {
    const auto outcome = store.swap("a/1", {}, std::string{"x\0y", 3}, {});
    REQUIRE(outcome);
    CHECK(outcome->is_swapped);
    const auto listed = store.list("a/");
    REQUIRE(listed);
    REQUIRE(listed->entries.size() == 1);
    CHECK(listed->entries[0].value == std::string{"x\0y", 3});
}

TEST_CASE_FIXTURE(kv_store_fixture,
                  "swap, key modified concurrently, fails with the current entry") {
    stub.put("a/1", "other");
    const auto outcome = store.swap("a/1", {}, "mine", {});
    REQUIRE(outcome);
    CHECK_FALSE(outcome->is_swapped);
    REQUIRE(outcome->current);
    CHECK(outcome->current->value == "other");
    CHECK(store.swap("a/1", outcome->current->modified, "mine", {})->is_swapped);
}

TEST_CASE_FIXTURE(kv_store_fixture, "watch, changes since a listing, returns them in order") {
    const auto listed = store.list("");
    REQUIRE(listed);
    stub.put("a/1", "x");
    stub.put("a/2", "y");
    const auto batch = store.watch("", revision{listed->at.value() + 1}, 500ms);
    REQUIRE(batch);
    REQUIRE(batch->changes.size() == 2);
    CHECK(batch->changes[0].changed.key == "a/1");
    CHECK(store.watch("", batch->next, 10ms)->changes.empty());
}

TEST_CASE_FIXTURE(kv_store_fixture, "watch, history compacted, returns compacted") {
    stub.set_store_mode(store_mode::compacted);
    CHECK(store.watch("", revision{2}, 10ms).error() == errc::compacted);
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, store refuses, are not applied") {
    stub.set_store_mode(store_mode::busy);
    CHECK(store.list("").error() == errc::unavailable);
    CHECK(store.swap("a/1", {}, "x", {}).error() == errc::unavailable);
    CHECK(store::is_surely_not_applied(store.swap("a/1", {}, "x", {}).error()));
}

TEST_CASE_FIXTURE(kv_store_fixture, "swap, reply lost, returns outcome_unknown") {
    stub.set_store_mode(store_mode::lost_reply);
    CHECK(store.swap("a/1", {}, "x", {}).error() == errc::outcome_unknown);
    stub.set_store_mode(store_mode::normal);
    CHECK(store.list("a/")->entries.size() == 1);
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, store does not reply, time out") {
    stub.set_store_mode(store_mode::unresponsive);
    CHECK(store.list("").error() == errc::unavailable);
    CHECK(store.swap("a/1", {}, "x", {}).error() == errc::outcome_unknown);
    stub.set_store_mode(store_mode::normal);
    CHECK(store.list(""));
}

TEST_CASE("swap, connection refused, returns unavailable") {
    platform::kv_store store{{"127.0.0.1", 1}, 200ms};
    CHECK(store.swap("a/1", {}, "x", {}).error() == errc::unavailable);
}

TEST_CASE_FIXTURE(kv_store_fixture, "revoke_lease, lease with a key, removes the key") {
    const auto lease = store.grant_lease(15s);
    REQUIRE(lease);
    REQUIRE(store.swap("a/1", {}, "x", *lease)->is_swapped);
    CHECK(store.keep_alive(*lease).value() == 15s);
    REQUIRE(store.revoke_lease(*lease));
    CHECK(store.list("a/")->entries.empty());
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, endless reply, fail before the reply exhausts memory") {
    constexpr auto timeout = 30s;
    platform::kv_store patient{stub.store(), timeout};
    stub.set_store_mode(store_mode::endless_reply);
    const auto begun = std::chrono::steady_clock::now();
    CHECK(patient.list("").error() == errc::unavailable);
    CHECK(std::chrono::steady_clock::now() - begun < timeout / 2);
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, interim response before each reply, get their own") {
    stub.set_store_mode(store_mode::interim_reply);
    for (const std::string key : {"a/1", "a/2", "a/3"}) {
        const auto outcome = store.swap(key, {}, "x", {});
        REQUIRE(outcome);
        CHECK(outcome->is_swapped);
    }
    const auto listed = store.list("a/");
    REQUIRE(listed);
    CHECK(listed->entries.size() == 3);
}
