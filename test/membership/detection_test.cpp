#include "test/support/gossip_network.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using membership::event_kind;
using membership::member_status;
using test_support::gossip_network;
using test_support::network_faults;

constexpr network_faults harsh{0.3, 0.1, 1ms, 60ms};
constexpr network_faults calm{0, 0, 1ms, 3ms};

/// Members of one failure domain that have met.
struct domain_fixture {
    std::unique_ptr<gossip_network> net;

    void settle(std::size_t size, std::uint64_t seed, network_faults faults) {
        net = std::make_unique<gossip_network>(seed, calm);
        net->start_many(size, "d", "a", {0, 1, 2});
        REQUIRE(net->run_until([&] { return net->is_agreed(); }, 60s));
        net->faults = faults;
        net->run_for(3s);
    }

    bool is_dead_for_all(const std::vector<std::size_t>& victims) const {
        for (std::size_t seer = 0; seer < net->nodes.size(); ++seer) {
            for (const std::size_t victim : victims) {
                if (net->is_running(seer) && seer != victim &&
                    net->status(seer, victim) != member_status::dead) {
                    return false;
                }
            }
        }
        return true;
    }

    void kill_and_expect(const std::vector<std::size_t>& victims, duration bound) const {
        for (const std::size_t victim : victims) {
            net->kill(victim);
        }
        CHECK(net->run_until([&] { return is_dead_for_all(victims); }, bound));
    }

    std::uint64_t own_suspicions() const {
        std::uint64_t sum = 0;
        for (const auto& entry : net->nodes) {
            sum += entry->state.counts.suspicions;
        }
        return sum;
    }
};

} // namespace

TEST_CASE_FIXTURE(domain_fixture,
                  "detection, death amid loss and reordering, known to all in time") {
    for (const std::uint64_t seed : {1UL, 2UL, 3UL}) {
        CAPTURE(seed);
        settle(70, seed, harsh);
        for (const std::size_t victim : {5UL, 17UL, 33UL, 60UL}) {
            kill_and_expect({victim}, membership::detection_bound);
        }
    }
}

TEST_CASE_FIXTURE(domain_fixture, "detection, a rack dies at once, all known within 5 s") {
    settle(70, 5, calm);
    kill_and_expect({0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, 5s);
}

TEST_CASE_FIXTURE(domain_fixture, "suspicion, 30% loss for a minute, nobody declared dead") {
    constexpr std::uint64_t seed = 6;
    constexpr std::size_t members = 70;
    CAPTURE(seed);
    settle(members, seed, harsh);
    const std::uint64_t before = own_suspicions();
    net->run_for(60s);
    CHECK(net->count_events(event_kind::died) == 0);
    // Stated rate: at most one false suspicion a member and minute.
    CHECK(own_suspicions() - before <= members);
}

TEST_CASE_FIXTURE(domain_fixture, "freeze of 1 s, member under 30% loss, not declared dead") {
    settle(20, 7, harsh);
    net->freeze(4, 1s);
    net->run_for(5s);
    CHECK(net->count_events(event_kind::died) == 0);
}

TEST_CASE_FIXTURE(domain_fixture, "freeze of 3 s, member back, accuses nobody and learns of it") {
    settle(20, 8, harsh);
    net->freeze(4, 3s);
    net->run_for(2900ms);
    CHECK(is_dead_for_all({4}));
    net->run_for(200ms);
    CHECK(net->run_until([&] { return net->is_agreed(); }, membership::detection_bound));
    for (const auto& event : net->nodes[4]->events) {
        CHECK(event.kind != event_kind::died);
    }
    CHECK(net->nodes[4]->state.counts.deaths == 0);
    CHECK(net->nodes[4]->state.counts.own_freezes == 1);
    const auto& events = net->nodes[4]->events;
    CHECK(std::any_of(events.begin(), events.end(), [](const auto& event) {
        return event.kind == event_kind::self_declared_dead;
    }));
}

TEST_CASE_FIXTURE(domain_fixture, "restart, same name and later start, replaces the old at once") {
    settle(7, 9, calm);
    const std::size_t deaths = net->count_events(membership::event_kind::died);
    net->kill(3);
    const std::size_t again = net->start("d3", "a", {0});
    CHECK(net->run_until(
        [&] {
            for (std::size_t seer = 0; seer < 7; ++seer) {
                if (seer != 3 && net->status(seer, again) != member_status::alive) {
                    return false;
                }
            }
            return true;
        },
        1s));
    CHECK(net->run_until(
        [&] { return net->count_events(membership::event_kind::died) == deaths + 6; }, 1s));
}

TEST_CASE_FIXTURE(domain_fixture,
                  "size, up to 410 in one domain, same detection bound and cost under the budget") {
    constexpr double budget_bytes_per_second = 14'000;
    constexpr double seconds = 5;
    for (const std::size_t size : {7UL, 70UL, 410UL}) {
        settle(size, 10, calm);
        net->run_for(5s);
        std::uint64_t before = 0;
        std::uint64_t after = 0;
        for (const auto& entry : net->nodes) {
            before += entry->bytes_sent;
        }
        net->run_for(5s);
        for (const auto& entry : net->nodes) {
            after += entry->bytes_sent;
        }
        const double rate =
            static_cast<double>(after - before) / seconds / static_cast<double>(size);
        MESSAGE("members ", size, ", bytes a second and node ", rate);
        CHECK(rate < budget_bytes_per_second);
        kill_and_expect({size / 2}, membership::detection_bound);
    }
}
