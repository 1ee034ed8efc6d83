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
    platform::kv_store kept{stub.store(), 200ms};
};

} // namespace

TEST_CASE_FIXTURE(kv_store_fixture, "swap, key absent as expected, is written and listed") {
    const auto outcome = kept.swap("a/1", {}, std::string{"x\0y", 3}, {});
    REQUIRE(outcome);
    CHECK(outcome->is_swapped);
    const auto listed = kept.list("a/");
    REQUIRE(listed);
    REQUIRE(listed->entries.size() == 1);
    CHECK(listed->entries[0].value == std::string{"x\0y", 3});
}

TEST_CASE_FIXTURE(kv_store_fixture, "swap, key written meanwhile, is refused with what is there") {
    stub.put("a/1", "other");
    const auto outcome = kept.swap("a/1", {}, "mine", {});
    REQUIRE(outcome);
    CHECK_FALSE(outcome->is_swapped);
    REQUIRE(outcome->current);
    CHECK(outcome->current->value == "other");
    CHECK(kept.swap("a/1", outcome->current->modified, "mine", {})->is_swapped);
}

TEST_CASE_FIXTURE(kv_store_fixture, "watch, changes since a listing, come in their order") {
    const auto listed = kept.list("");
    REQUIRE(listed);
    stub.put("a/1", "x");
    stub.put("a/2", "y");
    const auto batch = kept.watch("", revision{listed->at.value() + 1}, 500ms);
    REQUIRE(batch);
    REQUIRE(batch->changes.size() == 2);
    CHECK(batch->changes[0].changed.key == "a/1");
    CHECK(kept.watch("", batch->next, 10ms)->changes.empty());
}

TEST_CASE_FIXTURE(kv_store_fixture, "watch, history forgotten, is compacted") {
    stub.set_store_mode(store_mode::compacted);
    CHECK(kept.watch("", revision{2}, 10ms).error() == errc::compacted);
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, store refuses, nothing was done") {
    stub.set_store_mode(store_mode::busy);
    CHECK(kept.list("").error() == errc::unavailable);
    CHECK(kept.swap("a/1", {}, "x", {}).error() == errc::unavailable);
    CHECK(store::is_surely_not_applied(kept.swap("a/1", {}, "x", {}).error()));
}

TEST_CASE_FIXTURE(kv_store_fixture, "swap, reply lost, outcome is unknown") {
    stub.set_store_mode(store_mode::lost_reply);
    CHECK(kept.swap("a/1", {}, "x", {}).error() == errc::outcome_unknown);
    stub.set_store_mode(store_mode::normal);
    CHECK(kept.list("a/")->entries.size() == 1);
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, store silent, end after the timeout") {
    stub.set_store_mode(store_mode::unresponsive);
    CHECK(kept.list("").error() == errc::unavailable);
    CHECK(kept.swap("a/1", {}, "x", {}).error() == errc::outcome_unknown);
    stub.set_store_mode(store_mode::normal);
    CHECK(kept.list(""));
}

TEST_CASE("calls, nobody listens, nothing was done") {
    platform::kv_store kept{{"127.0.0.1", 1}, 200ms};
    CHECK(kept.swap("a/1", {}, "x", {}).error() == errc::unavailable);
}

TEST_CASE_FIXTURE(kv_store_fixture, "lease, granted and ended, its keys go with it") {
    const auto lease = kept.grant_lease(15s);
    REQUIRE(lease);
    REQUIRE(kept.swap("a/1", {}, "x", *lease)->is_swapped);
    CHECK(kept.keep_alive(*lease).value() == 15s);
    REQUIRE(kept.revoke_lease(*lease));
    CHECK(kept.list("a/")->entries.empty());
}
