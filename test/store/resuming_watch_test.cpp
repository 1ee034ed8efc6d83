#include "cicadahatch/store"
#include "test/support/memory_store.hpp"

#include <doctest/doctest.h>
#include <map>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::store_fault;

struct watch_fixture {
    manual_clock time;
    test_support::memory_store kept{time};
    store::resuming_watch watch{kept, "w/"};
    std::map<std::string, std::string> seen;

    void poll() {
        const auto update = watch.poll(0ms);
        if (!update) {
            return;
        }
        if (update->is_whole) {
            seen.clear();
        }
        for (const auto& listed : update->entries) {
            seen[listed.key] = listed.value;
        }
        for (const auto& change : update->changes) {
            seen[change.changed.key] = change.changed.value;
            if (change.is_erased) {
                seen.erase(change.changed.key);
            }
        }
    }

    [[nodiscard]] std::map<std::string, std::string> stored() {
        std::map<std::string, std::string> entries;
        const store::listing all = kept.list("w/").value();
        for (const auto& listed : all.entries) {
            entries[listed.key] = listed.value;
        }
        return entries;
    }
};

} // namespace

TEST_CASE_FIXTURE(watch_fixture,
                  "resuming_watch, seeded writes, outages and compactions, ends equal") {
    constexpr std::uint64_t seed = 11;
    INFO("seed " << seed);
    random_source random{seed};
    for (int turn = 0; turn < 2'000; ++turn) {
        const std::string key = "w/" + std::to_string(random.below(5));
        kept.set_fault(store_fault::none);
        const auto current = kept.get(key).value();
        const revision at = current ? current->modified : revision{};
        if (current && random.chance(0.3)) {
            static_cast<void>(kept.erase(key, at));
        } else {
            static_cast<void>(kept.swap(key, at, std::to_string(turn), {}));
        }
        if (random.chance(0.05)) {
            kept.compact();
        }
        kept.set_fault(random.chance(0.4) ? store_fault::unavailable : store_fault::none);
        poll();
    }
    kept.set_fault(store_fault::none);
    poll();
    CHECK(seen == stored());
}

TEST_CASE_FIXTURE(watch_fixture, "read back, reply lost, the write is found") {
    kept.set_faults(
        [](std::uint64_t call) { return call == 1 ? store_fault::lose_reply : store_fault::none; });
    const auto outcome = store::swap_with_read_back(kept, "a", {}, "mine");
    REQUIRE(outcome);
    CHECK(outcome->is_swapped);
    CHECK(kept.get("a").value()->modified == outcome->at);
}

TEST_CASE_FIXTURE(watch_fixture, "read back, request dropped, sent again and written once") {
    kept.set_faults([](std::uint64_t call) {
        return call == 1 ? store_fault::drop_request : store_fault::none;
    });
    CHECK(store::swap_with_read_back(kept, "a", {}, "mine")->is_swapped);
    CHECK(kept.get("a").value()->value == "mine");
}

TEST_CASE_FIXTURE(watch_fixture, "read back, others wrote after it, stays unknown") {
    kept.set_faults(
        [](std::uint64_t call) { return call == 1 ? store_fault::lose_reply : store_fault::none; });
    REQUIRE_FALSE(kept.swap("a", {}, "mine", {}));
    const revision mine = kept.get("a").value()->modified;
    REQUIRE(kept.swap("a", mine, "theirs", {})->is_swapped);
    const std::uint64_t before = kept.calls();
    kept.set_faults([before](std::uint64_t call) {
        return call == before + 1 ? store_fault::drop_request : store_fault::none;
    });
    const auto outcome = store::swap_with_read_back(kept, "a", {}, "mine");
    CHECK(outcome.error() == store::errc::outcome_unknown);
}

TEST_CASE_FIXTURE(watch_fixture, "poll, store restored and past its place again, lists again") {
    REQUIRE(test_support::put(kept, "w/a", "1"));
    const auto copied = kept.copy();
    REQUIRE(test_support::put(kept, "w/b", "lost"));
    poll();
    kept.restore(copied);
    for (const std::string value : {"2", "3", "4"}) {
        REQUIRE(test_support::put(kept, "w/a", value));
    }
    poll();
    CHECK(seen == stored());
}

TEST_CASE_FIXTURE(watch_fixture, "skip_through, revision of before a restore, changes nothing") {
    const auto copied = kept.copy();
    REQUIRE(test_support::put(kept, "w/a", "lost"));
    poll();
    const revision before = watch.position();
    kept.restore(copied);
    poll();
    const revision after = watch.position();
    CHECK(after > before);
    watch.skip_through(revision{before.value() + 10});
    CHECK(watch.position() == after);
}

TEST_CASE_FIXTURE(watch_fixture, "read back, restored between write and reading, stays unknown") {
    REQUIRE(test_support::put(kept, "a", "old"));
    const auto copied = kept.copy();
    const revision expected = kept.get("a").value()->modified;
    const std::uint64_t before = kept.calls();
    kept.set_faults([before](std::uint64_t call) {
        return call == before + 1 ? store_fault::lose_reply : store_fault::none;
    });
    REQUIRE_FALSE(kept.swap("a", expected, "mine", {}));
    kept.restore(copied);
    const std::uint64_t restored = kept.calls();
    kept.set_faults([restored](std::uint64_t call) {
        return call == restored + 1 ? store_fault::lose_reply : store_fault::none;
    });
    const auto outcome = store::swap_with_read_back(kept, "a", expected, "mine");
    REQUIRE_FALSE(outcome);
    CHECK(kept.get("a").value()->value == "old");
}
