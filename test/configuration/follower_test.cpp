#include "cicadahatch/configuration"
#include "test/support/memory_store.hpp"
#include "test/support/sample_settings.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace configuration;
using test_support::sample_model_service;
using test_support::store_fault;

struct follower_fixture {
    manual_clock time;
    test_support::memory_store kept{time};
    holder own;
    follower following{kept, own};
    std::uint64_t at = 0;

    void publish(std::uint32_t tokens, int services = 1) {
        std::vector<settings::service> wanted;
        wanted.reserve(static_cast<std::size_t>(services));
        for (int index = 0; index < services; ++index) {
            wanted.push_back(sample_model_service("service-" + std::to_string(index)));
        }
        wanted.front().max_output_tokens = tokens;
        const auto report =
            configuration::publish(kept, {wanted, revision{at}, "change-" + std::to_string(at)});
        REQUIRE(report);
        REQUIRE(report->status == publish_status::accepted);
        at = report->at.value();
    }
};

} // namespace

TEST_CASE_FIXTURE(follower_fixture, "follower, nothing published, daemon is not ready") {
    CHECK_FALSE(following.poll(0ms).value());
    CHECK_FALSE(own.is_ready());
    publish(1);
    CHECK(following.poll(0ms).value());
    CHECK(own.is_ready());
}

TEST_CASE_FIXTURE(follower_fixture, "follower, several changes between polls, takes the last") {
    publish(1);
    REQUIRE(following.poll(0ms).value());
    publish(2);
    publish(3);
    CHECK(following.poll(0ms).value());
    CHECK(own.at() == revision{3});
    CHECK_FALSE(following.poll(0ms).value());
}

TEST_CASE_FIXTURE(follower_fixture, "follower, one change of many services, reads one shard") {
    publish(1, 400);
    REQUIRE(following.poll(0ms).value());
    publish(2, 400);
    const std::uint64_t before = kept.calls();
    REQUIRE(following.poll(0ms).value());
    CHECK(kept.calls() - before == 2);
}

TEST_CASE_FIXTURE(follower_fixture,
                  "follower, outage amid the reading, takes the change afterwards") {
    publish(1);
    REQUIRE(following.poll(0ms).value());
    publish(2);
    const std::uint64_t watch_call = kept.calls() + 1;
    kept.set_faults([=](std::uint64_t call) {
        return call == watch_call ? store_fault::none : store_fault::unavailable;
    });
    CHECK_FALSE(following.poll(0ms));
    CHECK_FALSE(following.poll(0ms));
    CHECK(own.at() == revision{1});
    kept.set_fault(store_fault::none);
    CHECK(following.poll(0ms).value());
    CHECK(own.at() == revision{2});
}

TEST_CASE_FIXTURE(follower_fixture,
                  "follower, shard replaced before it is read, takes the newer head") {
    publish(1);
    REQUIRE(following.poll(0ms).value());
    publish(2);
    const std::uint64_t watch_call = kept.calls() + 1;
    kept.set_faults([=](std::uint64_t call) {
        return call == watch_call ? store_fault::none : store_fault::unavailable;
    });
    REQUIRE_FALSE(following.poll(0ms));
    kept.set_fault(store_fault::none);
    publish(3);
    CHECK(following.poll(0ms).error() == errc::inconsistent);
    CHECK(following.poll(0ms).value());
    CHECK(own.at() == revision{3});
}

TEST_CASE_FIXTURE(follower_fixture, "follower, history compacted, lists again and misses nothing") {
    publish(1);
    REQUIRE(following.poll(0ms).value());
    publish(2);
    kept.compact();
    CHECK(following.poll(0ms).value());
    CHECK(own.at() == revision{2});
}

TEST_CASE_FIXTURE(follower_fixture, "follower, head erased by hand, keeps what is in force") {
    publish(1);
    REQUIRE(following.poll(0ms).value());
    REQUIRE(kept.erase(head_key, kept.get(head_key).value()->modified)->is_swapped);
    CHECK_FALSE(following.poll(0ms).value());
    CHECK(own.at() == revision{1});
}

TEST_CASE_FIXTURE(follower_fixture,
                  "holder, subscribed, called once per snapshot until unsubscribed") {
    std::vector<revision> seen;
    const auto number =
        own.subscribe([&](const snapshot_ptr& taken) { seen.push_back(taken->at()); });
    publish(1);
    REQUIRE(following.poll(0ms).value());
    publish(2);
    REQUIRE(following.poll(0ms).value());
    own.unsubscribe(number);
    publish(3);
    REQUIRE(following.poll(0ms).value());
    CHECK(seen == std::vector{revision{1}, revision{2}});
}

TEST_CASE("watchers, any members, exactly three watch and few change places") {
    std::vector<watch_candidate> live;
    live.reserve(70);
    for (int index = 0; index < 70; ++index) {
        live.push_back({daemon_id{"daemon-" + std::to_string(index)}, true});
    }
    std::vector<daemon_id> before;
    for (const watch_candidate& candidate : live) {
        if (is_watcher(candidate.id, live)) {
            before.push_back(candidate.id);
        }
    }
    REQUIRE(before.size() == 3);
    std::erase_if(live, [&](const auto& candidate) { return candidate.id == before[0]; });
    CHECK(is_watcher(before[1], live));
    CHECK(is_watcher(before[2], live));
}

TEST_CASE("exchange order, any daemon, asks the watchers first and each of them as often") {
    std::vector<watch_candidate> live;
    std::vector<daemon_id> all;
    for (int index = 0; index < 60; ++index) {
        all.emplace_back("daemon-" + std::to_string(index));
        live.push_back({all.back(), true});
    }
    std::map<daemon_id, int> asked;
    for (const daemon_id& self : all) {
        std::vector<daemon_id> peers = all;
        std::erase(peers, self);
        const std::vector<daemon_id> order = exchange_order(self, peers);
        REQUIRE(order.size() == peers.size());
        CHECK(std::is_permutation(order.begin(), order.end(), peers.begin()));
        if (!is_watcher(self, live)) {
            CHECK(is_watcher(order[0], live));
            CHECK(is_watcher(order[2], live));
            ++asked[order[0]];
        }
    }
    CHECK(asked.size() == watchers_per_domain);
    for (const auto& [watcher, times] : asked) {
        CHECK(times > 8);
    }
}

TEST_CASE("watchers, one that doesn't reach the store, another takes its place") {
    std::vector<watch_candidate> live;
    live.reserve(7);
    for (int index = 0; index < 7; ++index) {
        live.push_back({daemon_id{"daemon-" + std::to_string(index)}, true});
    }
    const auto count = [&] {
        return std::count_if(live.begin(), live.end(), [&](const auto& candidate) {
            return candidate.reaches_store && is_watcher(candidate.id, live);
        });
    };
    for (watch_candidate& candidate : live) {
        if (is_watcher(candidate.id, live)) {
            candidate.reaches_store = false;
            break;
        }
    }
    CHECK(count() == 3);
}
