#include "cicadahatch/configuration"
#include "test/support/memory_store.hpp"
#include "test/support/sample_settings.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <glog/logging.h>

// The daemons of one failure domain follow the same changes in two ways: as the system does, and
// naively, where every daemon watches the store and reads the whole configuration every second.

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace configuration;
using test_support::sample_model_service;

constexpr std::uint64_t seed = 410;
constexpr std::size_t daemons = 68;
constexpr std::size_t services = 10;
constexpr int changes = 6;
constexpr int ticks_between_changes = 30;
constexpr int ticks_per_second = 10;

/// What following has cost.
struct cost {
    std::uint64_t platform_calls = 0;
    std::uint64_t peer_bytes = 0;
    int slowest_ticks = 0; ///< until a change was in force at all
    std::vector<std::uint64_t> fingerprints;
};

struct fleet {
    manual_clock time;
    test_support::memory_store kept{time};
    std::vector<std::unique_ptr<holder>> holders;
    std::vector<std::unique_ptr<follower>> followers;
    std::vector<watch_candidate> live;
    random_source random{seed};
    cost spent;

    fleet() {
        FLAGS_minloglevel = google::GLOG_FATAL;
        for (std::size_t index = 0; index < daemons; ++index) {
            live.push_back({daemon_id{"daemon-" + std::to_string(index)}, true});
            holders.push_back(std::make_unique<holder>());
            followers.push_back(std::make_unique<follower>(kept, *holders.back()));
        }
    }

    void publish(int turn) {
        std::vector<settings::service> wanted;
        wanted.reserve(services);
        for (std::size_t index = 0; index < services; ++index) {
            wanted.push_back(sample_model_service("service-" + std::to_string(index)));
            wanted.back().max_output_tokens =
                static_cast<std::uint32_t>(100 + (index == 0 ? turn : 0));
        }
        const revision base{static_cast<std::uint64_t>(turn)};
        REQUIRE(configuration::publish(kept, {wanted, base, "change-" + std::to_string(turn)}));
    }

    /// One gossip: the daemon learns a random peer's revision and asks for what it lacks.
    void ask_peer(std::size_t index) {
        const std::size_t other = random.below(daemons);
        const snapshot_ptr held = holders[other]->current();
        if (!held) {
            return;
        }
        if (const auto message = encode_since(*held, holders[index]->at())) {
            spent.peer_bytes += message->size();
            CHECK(merge_from_peer(*holders[index], *message).value());
        }
    }

    void tick_ours(int) {
        for (std::size_t index = 0; index < daemons; ++index) {
            if (is_watcher(live[index].id, live)) {
                REQUIRE(followers[index]->poll(0ms));
            } else {
                ask_peer(index);
            }
        }
    }

    void tick_naive(int tick) {
        for (std::size_t index = 0; index < daemons; ++index) {
            REQUIRE(followers[index]->poll(0ms));
            if (tick % ticks_per_second == 0) {
                holders[index]->offer(load(kept).value());
            }
        }
    }

    [[nodiscard]] bool is_in_force(int turn) const {
        const revision wanted{static_cast<std::uint64_t>(turn + 1)};
        return std::all_of(holders.begin(), holders.end(),
                           [&](const auto& held) { return held->at() == wanted; });
    }

    cost run(void (fleet::*tick)(int)) {
        for (int turn = 0; turn < changes; ++turn) {
            publish(turn);
            const std::uint64_t before = kept.calls();
            int needed = 0;
            for (int passed = 1; passed <= ticks_between_changes; ++passed) {
                (this->*tick)(passed);
                needed = is_in_force(turn) && needed == 0 ? passed : needed;
            }
            REQUIRE_MESSAGE(needed > 0, "not in force in time, seed " << seed);
            spent.slowest_ticks = std::max(spent.slowest_ticks, needed);
            spent.platform_calls += kept.calls() - before;
        }
        for (const auto& held : holders) {
            spent.fingerprints.push_back(held->current()->fingerprint());
        }
        return spent;
    }
};

} // namespace

TEST_CASE("followers, same changes naively and by watchers and peers, equal state at less cost") {
    const cost ours = fleet{}.run(&fleet::tick_ours);
    const cost naive = fleet{}.run(&fleet::tick_naive);
    CHECK(ours.fingerprints == naive.fingerprints);
    MESSAGE("platform calls: ours " << ours.platform_calls << ", naive " << naive.platform_calls
                                    << "; peer bytes: ours " << ours.peer_bytes
                                    << "; ticks until in force: ours " << ours.slowest_ticks
                                    << ", naive " << naive.slowest_ticks);
    // Watchers are 3 of 68; everything else a daemon asks the platform would be too much.
    CHECK(ours.platform_calls * 10 < naive.platform_calls);
    // Nine seconds are allowed; a domain may use a third of them.
    CHECK(ours.slowest_ticks <= ticks_between_changes);
}
