#include "cicadahatch/configuration"
#include "test/support/memory_store.hpp"
#include "test/support/sample_settings.hpp"

#include <array>
#include <doctest/doctest.h>
#include <glog/logging.h>

// Daemons that restart, lag, or are cut off never bring an older configuration back.

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace configuration;
using test_support::sample_model_service;
using test_support::store_fault;

settings::service with_limit(const std::string& name, std::uint64_t tokens) {
    settings::service made = sample_model_service(name);
    made.max_output_tokens = static_cast<std::uint32_t>(tokens);
    return made;
}

struct daemons_fixture {
    static constexpr std::size_t daemon_count = 4;

    manual_clock time;
    test_support::memory_store kept{time};
    std::array<std::unique_ptr<holder>, daemon_count> holders;
    std::vector<snapshot_ptr> published; ///< by revision, from one

    daemons_fixture() {
        FLAGS_minloglevel = google::GLOG_FATAL;
        for (auto& held : holders) {
            held = std::make_unique<holder>();
        }
    }

    void publish(const std::vector<settings::service>& services) {
        const revision base{published.size()};
        const std::string id = "change-" + std::to_string(published.size());
        const auto report = configuration::publish(kept, {services, base, id});
        REQUIRE(report);
        if (report->status == publish_status::accepted) {
            published.push_back(load(kept).value());
        }
    }

    /// The peer sends what this daemon lacks; the message may be old when it arrives.
    static void exchange(const holder& from, holder& to) {
        const snapshot_ptr held = from.current();
        if (!held) {
            return;
        }
        if (const auto message = encode_since(*held, to.at())) {
            CHECK(merge_from_peer(to, *message).value());
        }
    }

    void check_is_published(const holder& held) const {
        const snapshot_ptr now = held.current();
        if (now) {
            CHECK(now->fingerprint() == published.at(now->at().value() - 1)->fingerprint());
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(daemons_fixture, "holder, older and equal revisions offered, keeps its own") {
    publish({with_limit("a", 1)});
    publish({with_limit("a", 2)});
    holder& own = *holders[0];
    CHECK(own.offer(published[1]));
    CHECK_FALSE(own.offer(published[0]));
    CHECK_FALSE(own.offer(published[1]));
    CHECK(own.at() == revision{2});
}

TEST_CASE_FIXTURE(daemons_fixture, "peer, held service deleted meanwhile, does not bring it back") {
    publish({with_limit("a", 1), with_limit("b", 1)});
    holder& stale = *holders[0];
    stale.offer(published[0]);
    publish({with_limit("b", 1)});
    holder& fresh = *holders[1];
    fresh.offer(published[1]);
    CHECK_FALSE(encode_since(*stale.current(), fresh.at()).has_value());
    const auto forced = encode_since(*stale.current(), {});
    REQUIRE(forced);
    CHECK_FALSE(merge_from_peer(fresh, *forced).value());
    CHECK(fresh.current()->find(service_id{"a"}) == nullptr);
    exchange(fresh, stale);
    CHECK(stale.current()->find(service_id{"a"}) == nullptr);
}

TEST_CASE_FIXTURE(daemons_fixture, "peer, changes since a revision not reached, gap is reported") {
    for (std::uint64_t turn = 1; turn <= 3; ++turn) {
        publish({with_limit("a", turn)});
    }
    const auto changes = encode_since(*published[2], revision{2});
    holder& own = *holders[0];
    CHECK(merge_from_peer(own, *changes).error() == errc::gap);
    own.offer(published[0]);
    CHECK(merge_from_peer(own, *changes).error() == errc::gap);
    CHECK(own.at() == revision{1});
}

TEST_CASE_FIXTURE(daemons_fixture, "peer, changes hold one service of many, message stays small") {
    std::vector<settings::service> services;
    services.reserve(100);
    for (int index = 0; index < 100; ++index) {
        services.push_back(with_limit("service-" + std::to_string(index), 1));
    }
    publish(services);
    services[3].max_output_tokens = 2;
    publish(services);
    const auto whole = encode_since(*published[1], {});
    const auto changes = encode_since(*published[1], revision{1});
    CHECK(changes->size() * 50 < whole->size());
}

TEST_CASE_FIXTURE(daemons_fixture, "peer, damaged message, refused and nothing changes") {
    publish({with_limit("a", 1)});
    publish({with_limit("a", 2)});
    holder& own = *holders[0];
    own.offer(published[0]);
    const std::string message = *encode_since(*published[1], revision{1});
    for (std::size_t cut = 0; cut < message.size(); ++cut) {
        CHECK_FALSE(merge_from_peer(own, message.substr(0, cut)).has_value());
    }
    for (std::size_t place = 0; place < message.size(); ++place) {
        std::string damaged = message;
        damaged[place] = static_cast<char>(damaged[place] ^ 1);
        const auto merged = merge_from_peer(own, damaged);
        const bool is_harmless = !merged || !*merged || own.current()->at() == revision{2};
        CHECK(is_harmless);
    }
}

TEST_CASE_FIXTURE(daemons_fixture,
                  "daemons, seeded restarts, outages and stale peers, never revert") {
    constexpr std::uint64_t seed = 20260;
    constexpr int turns = 4'000;
    INFO("seed " << seed);
    random_source random{seed};
    std::array<std::unique_ptr<follower>, daemon_count> followers;
    std::vector<std::string> old_messages;
    for (int turn = 0; turn < turns; ++turn) {
        const std::size_t one = random.below(daemon_count);
        const std::size_t other = random.below(daemon_count);
        const revision before = holders[one]->at();
        switch (random.below(8)) {
        case 0: {
            std::vector<settings::service> services;
            for (const char* name : {"a", "b", "c"}) {
                if (random.chance(0.7)) {
                    services.push_back(with_limit(name, 1 + random.below(3)));
                }
            }
            kept.set_fault(store_fault::none);
            publish(services);
            break;
        }
        case 1:
            kept.set_fault(random.chance(0.5) ? store_fault::unavailable : store_fault::none);
            break;
        case 2:
            kept.compact();
            break;
        case 3:
            if (random.chance(0.2)) {
                holders[one] = std::make_unique<holder>();
                followers[one].reset();
                continue;
            }
            break;
        case 4:
            if (const auto held = holders[one]->current(); held) {
                old_messages.push_back(
                    encode_since(*held, revision{random.below(held->at().value())}).value());
            }
            break;
        case 5:
            if (!old_messages.empty()) {
                static_cast<void>(merge_from_peer(*holders[one],
                                                  old_messages[random.below(old_messages.size())]));
            }
            break;
        case 6:
            exchange(*holders[other], *holders[one]);
            break;
        default:
            if (!followers[one]) {
                followers[one] = std::make_unique<follower>(kept, *holders[one]);
            }
            static_cast<void>(followers[one]->poll(0ms));
        }
        CHECK(holders[one]->at() >= before);
        check_is_published(*holders[one]);
    }
    kept.set_fault(store_fault::none);
    for (std::size_t index = 0; index < daemon_count; ++index) {
        follower last{kept, *holders[index]};
        REQUIRE(last.poll(0ms));
        CHECK(holders[index]->at() == revision{published.size()});
    }
    CHECK(published.size() > 100);
}
