#include "cicadahatch/store"
#include "test/support/interleaved_store.hpp"
#include "test/support/memory_store.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;

struct latest_changes_fixture {
    manual_clock time;
    test_support::memory_store kept{time};
    store::split_keys keys{"large", {"a/", "b/"}};
    revision from;

    latest_changes_fixture() {
        put("a/1", "old");
        put("large", "1");
        from = revision{kept.list("").value().at.value() + 1};
    }
    void put(const std::string& key, const std::string& value) {
        REQUIRE(test_support::put(kept, key, value));
    }
    [[nodiscard]] std::vector<std::string> read() {
        return keys_of(store::read_latest_changes(kept, keys, from).value());
    }
    static std::vector<std::string> keys_of(const store::change_batch& batch) {
        std::vector<std::string> read;
        for (const store::change& row : batch.changes) {
            read.push_back(row.changed.key + (row.is_erased ? "-" : "=" + row.changed.value));
        }
        return read;
    }
};

} // namespace

TEST_CASE_FIXTURE(latest_changes_fixture, "read_latest_changes, nothing changed, is empty") {
    const auto batch = store::read_latest_changes(kept, keys, from);
    REQUIRE(batch);
    CHECK(batch->changes.empty());
    CHECK(batch->next == from);
}

TEST_CASE_FIXTURE(
    latest_changes_fixture,
    "read_latest_changes, large key replaced, has its latest value among the others") {
    put("large", "2");
    put("a/2", "x");
    put("large", "3");
    put("b/1", "y");
    put("c/1", "unread");
    put("large-too", "unread");
    REQUIRE(test_support::erase(kept, "a/1"));
    CHECK(read() == std::vector<std::string>{"a/2=x", "large=3", "b/1=y", "a/1-"});
}

// Guards against a change that is lost, or applied after a later one, as the replies are of
// different revisions.
TEST_CASE_FIXTURE(latest_changes_fixture,
                  "read_latest_changes, changes between its calls, belong to the next watch") {
    put("a/2", "x");
    test_support::interleaved_store changing{kept, [&](std::uint64_t call) {
                                                 if (call == 2) {
                                                     put("large", "2");
                                                     put("a/2", "y");
                                                     put("b/1", "z");
                                                 }
                                             }};
    const auto batch = store::read_latest_changes(changing, keys, from);
    REQUIRE(batch);
    CHECK(keys_of(*batch) == std::vector<std::string>{"a/2=x"});
    const auto rest = kept.watch("", batch->next, std::chrono::milliseconds{0});
    REQUIRE(rest);
    CHECK(keys_of(*rest) == std::vector<std::string>{"large=2", "a/2=y", "b/1=z"});
}

TEST_CASE_FIXTURE(latest_changes_fixture,
                  "read_latest_changes, history compacted or too large, asks for a listing") {
    put("a/2", "a long value");
    kept.limit_watches(4);
    CHECK(store::read_latest_changes(kept, keys, from).error() == store::errc::compacted);
    kept.compact();
    CHECK(store::read_latest_changes(kept, keys, from).error() == store::errc::compacted);
}

TEST_CASE_FIXTURE(latest_changes_fixture,
                  "read_latest_changes, large key too large, says so without more calls") {
    kept.set_fault(test_support::store_fault::large_reply);
    const std::uint64_t calls = kept.calls();
    CHECK(store::read_latest_changes(kept, keys, from).error() == store::errc::reply_too_large);
    CHECK(kept.calls() == calls + 1);
}

TEST_CASE_FIXTURE(latest_changes_fixture,
                  "read_latest_changes, store restored between its calls, asks for a listing") {
    const auto copied = kept.copy();
    test_support::interleaved_store restoring{kept, [&](std::uint64_t call) {
                                                  if (call == 2) {
                                                      kept.restore(copied);
                                                  }
                                              }};
    CHECK(store::read_latest_changes(restoring, keys, from).error() == store::errc::compacted);
}
