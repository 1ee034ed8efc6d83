#include "src/core/manual_clock.hpp"
#include "src/discovery/follower.hpp"
#include "test/support/memory_store.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::discovery;
using test_support::store_fault;

constexpr std::chrono::milliseconds feed_timeout = 1200ms;

std::optional<routing::configuration> read_configuration(const store::entry& entry) {
    routing::configuration decoded;
    decoded.version = std::stoull(entry.value);
    return decoded;
}

std::optional<backend> read_backend(const store::entry& entry) {
    backend decoded;
    decoded.id = backend_id{entry.key.substr(2)};
    return decoded;
}

follower_options make_options() {
    follower_options options;
    options.watch_timeout = 0ms;
    options.relaying_watch_timeout = 0ms;
    return options;
}

/// A daemon with a follower of the store and a feed.
struct test_daemon {
    registry_feed feed;
    discovery::follower follower;
    std::vector<store_delta> deltas;

    test_daemon(const cicadahatch::clock& time, store::key_value_store& store,
                const std::string& name, const follower_options& options)
        : feed(time, feed_timeout),
          follower(store, {"config", "s/", "d/", read_configuration, read_backend}, options, time,
                   {daemon_id{name}, {"10.0.0.1", 7000}, domain_id{"a"}, {}}) {
        follower.use_feed(feed);
        follower.on_delta([this](store_delta delta) { deltas.push_back(std::move(delta)); });
    }
    [[nodiscard]] bool lists(const registry_update& update, const std::string& id) const {
        return std::any_of(update.present.begin(), update.present.end(),
                           [&](const backend& server) { return server.id == backend_id{id}; });
    }
};

struct registry_feed_fixture {
    manual_clock time;
    test_support::memory_store store{time};
    test_daemon relay;
    test_daemon receiver;

    registry_feed_fixture() : registry_feed_fixture(make_options()) {}
    explicit registry_feed_fixture(const follower_options& options)
        : relay(time, store, "d1", options), receiver(time, store, "d2", options) {
        time.advance(1h);
        put("config", "1");
        static_cast<void>(relay.follower.poll().value());
        static_cast<void>(receiver.follower.poll().value());
        relay.deltas.clear();
        receiver.deltas.clear();
    }
    void put(const std::string& key, const std::string& value) {
        REQUIRE(test_support::put(store, key, value));
    }
    void erase(const std::string& key) { REQUIRE(test_support::erase(store, key)); }
    /// Removes an entry that both daemons know after an outage that only the relay has seen.
    void erase_after_outage(const std::string& key) {
        put(key, "x");
        static_cast<void>(relay_delta());
        lose_store_of_relay(duration{0});
        erase(key);
    }
    /// The store becomes unreachable; the relay's last call fails at the end.
    void lose_store_of_relay(duration outage) {
        store.set_fault(store_fault::unavailable);
        time.advance(outage);
        REQUIRE_FALSE(relay.follower.poll());
        store.set_fault(store_fault::none);
    }
    /// Polls the store in the relay and passes the deltas to the receiver.
    registry_update relay_delta() {
        static_cast<void>(relay.follower.poll().value());
        for (store_delta& delta : relay.deltas) {
            receiver.feed.offer(std::move(delta));
        }
        relay.deltas.clear();
        return receiver.follower.poll().value();
    }
};

/// Followers that are told how long an outage must last for entries to lapse.
struct interruption_fixture : registry_feed_fixture {
    interruption_fixture() : registry_feed_fixture(make_interruption_options()) {}
    static follower_options make_interruption_options() {
        follower_options made = make_options();
        made.min_outage = feed_timeout;
        return made;
    }
};

} // namespace

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "poll, delta in the feed, applies it without reading the store") {
    put("config", "2");
    put("s/a", "x");
    const std::size_t before = store.calls();
    const registry_update update = relay_delta();
    CHECK(store.calls() - before == 1);
    CHECK(update.is_relayed);
    REQUIRE(update.configuration);
    CHECK(update.configuration->version == 2);
    CHECK(receiver.lists(update, "a"));
    CHECK(receiver.deltas.empty());
}

TEST_CASE_FIXTURE(registry_feed_fixture, "poll, duplicate delta, returns no changes") {
    put("s/a", "x");
    static_cast<void>(relay.follower.poll().value());
    const store_delta delta = relay.deltas.back();
    relay.deltas.clear();
    receiver.feed.offer(delta);
    CHECK(receiver.lists(receiver.follower.poll().value(), "a"));
    put("s/a", "y");
    static_cast<void>(relay_delta());
    receiver.feed.offer(delta);
    CHECK(receiver.follower.poll().value().present.empty());
}

TEST_CASE_FIXTURE(registry_feed_fixture, "poll, older delta after a newer one, is ignored") {
    put("config", "2");
    static_cast<void>(relay.follower.poll().value());
    const store_delta older = relay.deltas.back();
    relay.deltas.clear();
    put("config", "3");
    REQUIRE(relay_delta().configuration->version == 3);
    receiver.feed.offer(older);
    CHECK_FALSE(receiver.follower.poll().value().configuration);
}

TEST_CASE_FIXTURE(registry_feed_fixture, "poll, missed delta, reads the gap from the store") {
    put("s/a", "x");
    static_cast<void>(relay.follower.poll().value());
    relay.deltas.clear();
    put("s/b", "x");
    const registry_update update = relay_delta();
    CHECK(receiver.lists(update, "a"));
    CHECK(receiver.lists(update, "b"));
}

TEST_CASE_FIXTURE(registry_feed_fixture, "poll, entry removed and added in one delta, is present") {
    put("s/a", "x");
    static_cast<void>(relay_delta());
    erase("s/a");
    put("s/a", "x");
    const registry_update update = relay_delta();
    CHECK(update.absent.empty());
    CHECK(receiver.lists(update, "a"));
}

TEST_CASE_FIXTURE(registry_feed_fixture, "poll, feed timed out, reads the store") {
    static_cast<void>(relay_delta());
    put("s/a", "x");
    CHECK(receiver.feed.is_live());
    time.advance(feed_timeout + 1ms);
    CHECK_FALSE(receiver.feed.is_live());
    CHECK(receiver.lists(receiver.follower.poll().value(), "a"));
}

TEST_CASE_FIXTURE(registry_feed_fixture, "poll, daemon relays to others, reads the store") {
    static_cast<void>(relay_delta());
    receiver.feed.set_relaying(true);
    put("s/a", "x");
    CHECK(receiver.lists(receiver.follower.poll().value(), "a"));
    CHECK_FALSE(receiver.deltas.empty());
}

TEST_CASE_FIXTURE(registry_feed_fixture, "poll, store failed before, applies deltas of the feed") {
    store.set_fault(store_fault::unavailable);
    REQUIRE_FALSE(receiver.follower.poll());
    store.set_fault(store_fault::none);
    put("config", "7");
    CHECK(relay_delta().configuration->version == 7);
}

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "poll, outage seen only by the relay, passes on the grace period") {
    erase_after_outage("s/a");
    const registry_update update = relay_delta();
    CHECK(update.absent == std::vector{backend_id{"a"}});
    CHECK(update.grace_ends_at > time.now() + 2s);
    CHECK(update.grace_ends_at <= time.now() + 2400ms);
}

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "poll, delta taken late, does not extend the grace period") {
    erase_after_outage("s/a");
    static_cast<void>(relay.follower.poll().value());
    receiver.feed.offer(relay.deltas.back());
    const time_point offered_at = time.now();
    time.advance(1s);
    const registry_update update = receiver.follower.poll().value();
    CHECK(update.is_relayed);
    CHECK(update.grace_ends_at <= offered_at + 2400ms);
}

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "poll, grace period of an earlier delta, does not extend to later removals") {
    put("s/b", "x");
    erase_after_outage("s/a");
    REQUIRE(relay_delta().grace_ends_at > time.now());
    erase("s/b");
    const registry_update update = relay_delta();
    CHECK(update.absent == std::vector{backend_id{"b"}});
    CHECK(update.grace_ends_at <= time.now());
}

TEST_CASE_FIXTURE(interruption_fixture,
                  "poll, outage of the relay alone, receiver keeps no removed entry") {
    put("s/a", "x");
    static_cast<void>(relay_delta());
    lose_store_of_relay(4s);
    // The feed has timed out, so the receiver reads the store itself.
    static_cast<void>(receiver.follower.poll().value());
    erase("s/a");
    const registry_update update = relay_delta();
    CHECK(update.is_relayed);
    CHECK(update.absent == std::vector{backend_id{"a"}});
    CHECK(update.grace_ends_at <= time.now());
}

TEST_CASE_FIXTURE(interruption_fixture,
                  "poll, outage that the receiver has not read through, keeps removed entries") {
    put("s/a", "x");
    static_cast<void>(relay_delta());
    lose_store_of_relay(4s);
    erase("s/a");
    const registry_update update = relay_delta();
    CHECK(update.is_relayed);
    CHECK(update.grace_ends_at > time.now() + 2s);
}

TEST_CASE_FIXTURE(registry_feed_fixture, "offer, daemon relays to others, discards the delta") {
    static_cast<void>(relay.follower.poll().value());
    receiver.feed.offer(relay.deltas.back());
    receiver.feed.set_relaying(true);
    receiver.feed.offer(relay.deltas.back());
    receiver.feed.set_relaying(false);
    CHECK_FALSE(receiver.feed.take(0ms));
}

TEST_CASE_FIXTURE(
    registry_feed_fixture,
    "poll, relayed delta, keeps the time until which its reader says it is complete") {
    put("config", "2");
    static_cast<void>(relay.follower.poll().value());
    REQUIRE_FALSE(relay.deltas.empty());
    store_delta delta = relay.deltas.back();
    delta.complete_as_of = time.now() - 700ms;
    receiver.feed.offer(delta);
    const auto update = receiver.follower.poll();
    REQUIRE(update);
    CHECK(update->complete_as_of == time.now() - 700ms);
}

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "poll, store read while its age is measured, complete as of the call") {
    relay.follower.on_confirmation(time, [](time_point) {});
    put("config", "2");
    const time_point called_at = time.now();
    const auto update = relay.follower.poll();
    REQUIRE(update);
    CHECK(update->complete_as_of == called_at);
    REQUIRE_FALSE(relay.deltas.empty());
    CHECK(relay.deltas.back().complete_as_of == called_at);
}

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "poll, relay has noticed a restore first, reads the store itself") {
    const auto copied = store.copy();
    put("s/a", "lost");
    static_cast<void>(relay_delta());
    store.restore(copied);
    put("s/b", "x");
    put("s/c", "x");
    const registry_update update = relay_delta();
    CHECK_FALSE(update.is_relayed);
    CHECK(update.restored);
    CHECK(receiver.lists(update, "b"));
    CHECK_FALSE(receiver.lists(update, "a"));
    put("s/d", "x");
    const registry_update next = relay_delta();
    CHECK(next.is_relayed);
    CHECK(receiver.lists(next, "d"));
}

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "poll, delta of before a restore after it, is ignored whole") {
    const auto copied = store.copy();
    put("s/a", "lost");
    static_cast<void>(relay.follower.poll().value());
    store_delta older = relay.deltas.back();
    older.complete_as_of = time.now();
    relay.deltas.clear();
    store.restore(copied);
    REQUIRE(receiver.follower.poll().value().restored);
    receiver.feed.offer(older);
    const registry_update update = receiver.follower.poll().value();
    CHECK(update.present.empty());
    CHECK_FALSE(update.complete_as_of);
}

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "poll, two restores that relay and receiver notice in turn, follows the latest") {
    const auto copied = store.copy();
    store.restore(copied);
    REQUIRE(receiver.follower.poll().value().restored);
    put("s/a", "x");
    store.restore(copied);
    put("s/b", "x");
    const registry_update update = relay_delta();
    CHECK(update.restored);
    CHECK(receiver.lists(update, "b"));
    CHECK_FALSE(receiver.lists(update, "a"));
}
