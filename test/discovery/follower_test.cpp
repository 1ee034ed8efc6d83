#include "src/discovery/follower.hpp"
#include "src/discovery/registry_feed.hpp"
#include "test/support/memory_store.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::discovery;
using test_support::store_fault;

/// The value of a configuration is its version, that of a backend server its service.
std::optional<routing::configuration> read_configuration(const store::entry& entry) {
    if (entry.value == "bad") {
        return std::nullopt;
    }
    routing::configuration decoded;
    decoded.version = std::stoull(entry.value);
    return decoded;
}

std::optional<backend> read_backend(const store::entry& entry) {
    if (entry.value == "bad") {
        return std::nullopt;
    }
    backend decoded;
    decoded.id = backend_id{entry.key.substr(2)};
    decoded.service = service_id{entry.value};
    return decoded;
}

struct follower_fixture {
    manual_clock time;
    test_support::memory_store store{time};
    follower_options options;
    discovery::follower follower;

    follower_fixture() : follower_fixture(make_options()) {}
    explicit follower_fixture(const follower_options& initial)
        : options(initial),
          follower(store, {"config", "s/", "d/", read_configuration, read_backend}, options, time,
                   {daemon_id{"d1"}, {"10.0.0.1", 7000}, domain_id{"a"}}) {
        time.advance(1h);
    }
    static follower_options make_options() {
        follower_options fast_options;
        fast_options.watch_timeout = 0ms;
        return fast_options;
    }
    void put(const std::string& key, const std::string& value) {
        REQUIRE(test_support::put(store, key, value));
    }
    void erase(const std::string& key) { REQUIRE(test_support::erase(store, key)); }
    registry_update poll() { return follower.poll().value(); }
    [[nodiscard]] bool is_registered() { return store.get("d/d1").value().has_value(); }
    /// The store becomes unreachable; the last call fails at the end.
    void lose_store(duration outage) {
        store.set_fault(store_fault::unavailable);
        time.advance(outage);
        CHECK_FALSE(follower.poll());
        store.set_fault(store_fault::none);
    }
};

/// A follower that is told how long an outage must last for entries to lapse.
struct interruption_fixture : follower_fixture {
    static constexpr std::chrono::milliseconds min_outage = 1200ms;

    interruption_fixture() : follower_fixture(make_interruption_options()) {}
    static follower_options make_interruption_options() {
        follower_options made = make_options();
        made.min_outage = min_outage;
        return made;
    }
};

/// A follower that waits for changes.
struct waiting_fixture : follower_fixture {
    waiting_fixture() : follower_fixture(make_waiting_options()) {}
    static follower_options make_waiting_options() {
        follower_options made = make_options();
        made.watch_timeout = 5ms;
        return made;
    }
};

/// A follower that has polled a store, of which a copy is kept.
struct restore_fixture : follower_fixture {
    test_support::memory_store::store_copy copied;

    restore_fixture() {
        put("s/a", "x");
        put("config", "4");
        copied = store.copy();
        static_cast<void>(poll());
    }
};

/// A follower that has polled a store, whose replies to watches are limited.
struct large_gap_fixture : follower_fixture {
    static constexpr std::size_t max_watch_bytes = 100;
    std::vector<revision> behind; ///< as reported

    large_gap_fixture() {
        put("s/a", "x");
        put("config", "1000");
        static_cast<void>(poll());
        store.limit_watches(max_watch_bytes);
        follower.on_behind([this](revision position) { behind.push_back(position); });
    }
    /// Versions 1001 to 1050, which exceed the limit.
    void publish_versions() {
        for (int version = 1001; version <= 1050; ++version) {
            put("config", std::to_string(version));
        }
    }
};

bool lists(const registry_update& update, const std::string& id) {
    return std::any_of(update.present.begin(), update.present.end(),
                       [&](const backend& server) { return server.id == backend_id{id}; });
}

} // namespace

TEST_CASE_FIXTURE(follower_fixture, "poll, daemons with and without a failure domain, lists them") {
    put("d/d2", "10.0.0.2:7000 north");
    put("d/d3", "10.0.0.3:7000");
    put("d/d4", "nowhere north");
    const registry_update update = poll();
    REQUIRE(update.daemons.size() == 2);
    CHECK(update.daemons[0].address.host == "10.0.0.2");
    CHECK(update.daemons[0].domain == domain_id{"north"});
    CHECK(update.daemons[1].domain.empty());
}

TEST_CASE_FIXTURE(follower_fixture,
                  "maintain_presence, daemon with a failure domain, registers it") {
    REQUIRE(follower.maintain_presence());
    const registry_update update = poll();
    REQUIRE(update.daemons.size() == 1);
    CHECK(update.daemons[0] ==
          registered_daemon{daemon_id{"d1"}, {"10.0.0.1", 7000}, domain_id{"a"}});
}

TEST_CASE_FIXTURE(follower_fixture, "poll, first time, returns a snapshot") {
    put("config", "3");
    put("s/a", "x");
    const registry_update update = poll();
    CHECK(update.is_snapshot);
    CHECK(update.configuration->version == 3);
    CHECK(lists(update, "a"));
}

TEST_CASE_FIXTURE(follower_fixture,
                  "poll, new configuration and backend server, returns only the changes") {
    put("s/a", "x");
    static_cast<void>(poll());
    put("config", "4");
    put("s/b", "x");
    const registry_update update = poll();
    CHECK_FALSE(update.is_snapshot);
    CHECK(update.configuration->version == 4);
    CHECK(lists(update, "b"));
    CHECK_FALSE(lists(update, "a"));
}

TEST_CASE_FIXTURE(follower_fixture,
                  "poll, older configuration after a newer one, returns the newer one") {
    static_cast<void>(poll());
    put("config", "9");
    put("config", "7");
    CHECK(poll().configuration->version == 9);
}

TEST_CASE_FIXTURE(
    follower_fixture,
    "poll, entry overwritten with a malformed value, reports the backend server as absent") {
    put("s/a", "x");
    static_cast<void>(poll());
    put("s/a", "bad");
    const registry_update update = poll();
    CHECK(update.present.empty());
    CHECK(update.absent == std::vector{backend_id{"a"}});
    CHECK(update.unreadable == std::vector<std::string>{"s/a"});
}

TEST_CASE_FIXTURE(follower_fixture, "poll, entry removed and added in one update, is present") {
    put("s/a", "x");
    static_cast<void>(poll());
    erase("s/a");
    put("s/a", "x");
    const registry_update update = poll();
    CHECK(lists(update, "a"));
    CHECK(update.absent.empty());
}

TEST_CASE_FIXTURE(follower_fixture, "poll, entry updated and removed in one update, is absent") {
    put("s/a", "x");
    static_cast<void>(poll());
    put("s/a", "y");
    erase("s/a");
    const registry_update update = poll();
    CHECK_FALSE(lists(update, "a"));
    CHECK(update.absent == std::vector{backend_id{"a"}});
}

TEST_CASE_FIXTURE(follower_fixture, "poll, entry removed without an outage, has no grace period") {
    put("s/a", "x");
    static_cast<void>(poll());
    time.advance(10s);
    erase("s/a");
    CHECK(poll().grace_ends_at <= time.now());
}

TEST_CASE_FIXTURE(follower_fixture, "poll, entry expired during an outage, has a grace period") {
    put("s/a", "x");
    static_cast<void>(poll());
    store.set_fault(store_fault::unavailable);
    CHECK_FALSE(follower.poll());
    store.set_fault(store_fault::none);
    erase("s/a");
    const registry_update update = poll();
    CHECK(update.grace_ends_at == time.now() + options.grace_period);
    time.advance(options.grace_period + 1ms);
    put("s/b", "x");
    CHECK(poll().grace_ends_at <= time.now());
}

TEST_CASE_FIXTURE(follower_fixture,
                  "poll, entry removed after the first poll that follows an outage, has no grace "
                  "period") {
    put("s/a", "x");
    static_cast<void>(poll());
    lose_store(4s);
    static_cast<void>(poll());
    time.advance(50ms);
    erase("s/a");
    const registry_update update = poll();
    CHECK(update.absent == std::vector{backend_id{"a"}});
    CHECK(update.grace_ends_at <= time.now());
}

TEST_CASE_FIXTURE(follower_fixture,
                  "poll, end of an outage noticed late, grace period ends when bounds hold again") {
    put("s/a", "x");
    static_cast<void>(poll());
    lose_store(4s);
    const time_point last_failure = time.now();
    erase("s/a");
    time.advance(2s);
    const registry_update update = poll();
    CHECK(update.grace_ends_at > time.now());
    CHECK(update.grace_ends_at <= last_failure + options.stabilization);
}

TEST_CASE_FIXTURE(interruption_fixture,
                  "poll, entry removed around an interruption too short for a lapse, has no grace "
                  "period") {
    put("s/a", "x");
    static_cast<void>(poll());
    lose_store(min_outage - 1ms);
    erase("s/a");
    CHECK(poll().grace_ends_at <= time.now());
    put("s/b", "x");
    static_cast<void>(poll());
    lose_store(min_outage);
    erase("s/b");
    CHECK(poll().grace_ends_at > time.now());
}

TEST_CASE_FIXTURE(waiting_fixture, "poll, first one after an outage, does not wait for changes") {
    put("s/a", "x");
    static_cast<void>(poll());
    lose_store(4s);
    static_cast<void>(poll());
    CHECK(store.last_wait() == 0ms);
    static_cast<void>(poll());
    CHECK(store.last_wait() == options.watch_timeout);
}

TEST_CASE_FIXTURE(follower_fixture, "poll, history compacted, returns a snapshot") {
    put("s/a", "x");
    static_cast<void>(poll());
    put("config", "5");
    store.compact();
    const registry_update update = poll();
    CHECK(update.is_snapshot);
    CHECK(update.configuration->version == 5);
}

TEST_CASE_FIXTURE(follower_fixture, "maintain_presence, first time, registers the address") {
    REQUIRE(follower.maintain_presence());
    const registry_update update = poll();
    REQUIRE(update.daemons.size() == 1);
    CHECK(update.daemons[0].id == daemon_id{"d1"});
    CHECK(update.daemons[0].address == http::endpoint{"10.0.0.1", 7000});
}

TEST_CASE_FIXTURE(follower_fixture, "maintain_presence, key of a previous process, is replaced") {
    put("d/d1", "10.9.9.9:1");
    REQUIRE(follower.maintain_presence());
    CHECK(poll().daemons[0].address == http::endpoint{"10.0.0.1", 7000});
}

TEST_CASE_FIXTURE(follower_fixture, "maintain_presence, lease expired, registers again") {
    REQUIRE(follower.maintain_presence());
    time.advance(60s);
    REQUIRE(follower.maintain_presence());
    CHECK(poll().daemons.size() == 1);
}

TEST_CASE_FIXTURE(follower_fixture, "withdraw_presence, registered daemon, removes its key") {
    REQUIRE(follower.maintain_presence());
    CHECK(poll().daemons.size() == 1);
    follower.withdraw_presence();
    CHECK(poll().daemons.empty());
}

// Guards against changes that are missed because revisions are counted again after a restore.
TEST_CASE_FIXTURE(restore_fixture,
                  "poll, store restored and past its place again, returns a snapshot") {
    put("s/b", "lost");
    static_cast<void>(poll());
    const revision before = store.list("").value().at;
    store.restore(copied);
    put("s/c", "x");
    put("config", "5");
    put("s/d", "x");
    const registry_update update = poll();
    CHECK(update.is_snapshot);
    CHECK(lists(update, "c"));
    REQUIRE(update.restored);
    CHECK(update.restored->before == before);
    CHECK(update.restored->after > before);
    CHECK_FALSE(poll().restored);
}

TEST_CASE_FIXTURE(restore_fixture,
                  "poll, backend server missing in the copy, may return within the grace period") {
    put("s/b", "registered after the copy");
    static_cast<void>(poll());
    store.restore(copied);
    const registry_update update = poll();
    CHECK_FALSE(lists(update, "b"));
    CHECK(update.grace_ends_at > time.now());
    CHECK(update.grace_ends_at <= time.now() + options.grace_period);
}

TEST_CASE_FIXTURE(restore_fixture, "poll, second restore before the first is known, returns one "
                                   "snapshot of the latest") {
    put("s/b", "lost");
    static_cast<void>(poll());
    store.restore(copied);
    put("s/c", "lost too");
    store.restore(copied);
    const registry_update update = poll();
    CHECK(update.restored);
    CHECK_FALSE(lists(update, "c"));
    CHECK(lists(update, "a"));
}

TEST_CASE_FIXTURE(restore_fixture,
                  "poll, older copy of the configuration, does not confirm that it is complete") {
    std::vector<time_point> confirmed;
    follower.on_confirmation(time, [&confirmed](time_point at) { confirmed.push_back(at); });
    CHECK(poll().complete_as_of);
    store.restore(copied);
    CHECK_FALSE(poll().complete_as_of);
    time.advance(options.stabilization - 1ms);
    CHECK_FALSE(poll().complete_as_of);
    time.advance(1ms);
    CHECK(poll().complete_as_of);
}

TEST_CASE_FIXTURE(restore_fixture,
                  "maintain_presence, registration lost in a restore, is written within a second") {
    int registrations = 0;
    follower.on_registration([&registrations] { ++registrations; });
    REQUIRE(follower.maintain_presence());
    CHECK(poll().daemons.size() == 1);
    store.restore(copied);
    CHECK(poll().daemons.empty());
    time.advance(1s);
    REQUIRE(follower.maintain_presence());
    CHECK(poll().daemons.size() == 1);
    CHECK(registrations == 2);
}

TEST_CASE_FIXTURE(restore_fixture, "run, each generation of the store, is reported once") {
    std::vector<store::generation> generations;
    discovery::follower other{store,
                              {"config", "s/", "d/", read_configuration, read_backend},
                              options,
                              time,
                              {daemon_id{"d2"}, {"10.0.0.2", 7000}, domain_id{"a"}}};
    other.on_generation([&generations](store::generation now) { generations.push_back(now); });
    REQUIRE(other.poll());
    REQUIRE(other.poll());
    store.restore(copied);
    REQUIRE(other.poll());
    REQUIRE(other.poll());
    CHECK(generations == std::vector{store::generation{}, store::generation{1}});
}

TEST_CASE_FIXTURE(follower_fixture,
                  "leave, registered daemon, removes its key and goes on polling") {
    int withdrawals = 0;
    follower.on_withdrawal([&withdrawals] { ++withdrawals; });
    REQUIRE(follower.maintain_presence());
    static_cast<void>(poll());
    follower.leave();
    REQUIRE(follower.maintain_presence());
    CHECK_FALSE(is_registered());
    put("config", "4");
    CHECK(poll().configuration->version == 4);
    REQUIRE(follower.maintain_presence());
    CHECK(withdrawals == 1);
}

TEST_CASE_FIXTURE(follower_fixture, "leave, daemon that is not registered yet, is not registered") {
    follower.leave();
    time.advance(options.presence_renewal_interval);
    REQUIRE(follower.maintain_presence());
    CHECK_FALSE(is_registered());
    CHECK(store.writes() == 0);
}

TEST_CASE_FIXTURE(follower_fixture, "leave, lease expired before, does not register again") {
    REQUIRE(follower.maintain_presence());
    time.advance(options.presence_ttl * 2);
    follower.leave();
    REQUIRE(follower.maintain_presence());
    time.advance(options.presence_renewal_interval);
    REQUIRE(follower.maintain_presence());
    CHECK_FALSE(is_registered());
}

TEST_CASE_FIXTURE(follower_fixture,
                  "leave, store unreachable, removes the key once the store is back") {
    REQUIRE(follower.maintain_presence());
    store.set_fault(store_fault::unavailable);
    follower.leave();
    CHECK_FALSE(follower.maintain_presence());
    store.set_fault(store_fault::none);
    CHECK(is_registered());
    time.advance(options.withdrawal_retry_interval);
    REQUIRE(follower.maintain_presence());
    CHECK_FALSE(is_registered());
}

TEST_CASE_FIXTURE(follower_fixture,
                  "leave, reply to the registration was lost, removes the key all the same") {
    store.set_faults(
        [](std::uint64_t call) { return call == 2 ? store_fault::lose_reply : store_fault::none; });
    CHECK_FALSE(follower.maintain_presence());
    CHECK(is_registered());
    follower.leave();
    REQUIRE(follower.maintain_presence());
    CHECK_FALSE(is_registered());
}

// Guards against a daemon that others contact again since the copy still shows its key.
TEST_CASE_FIXTURE(restore_fixture,
                  "leave, store restored from a copy with the registration, removes it again") {
    REQUIRE(follower.maintain_presence());
    copied = store.copy();
    static_cast<void>(poll());
    follower.leave();
    REQUIRE(follower.maintain_presence());
    CHECK_FALSE(is_registered());
    store.restore(copied);
    CHECK(is_registered());
    static_cast<void>(poll());
    time.advance(1s);
    REQUIRE(follower.maintain_presence());
    CHECK_FALSE(is_registered());
}

TEST_CASE_FIXTURE(
    restore_fixture,
    "leave, store restored while the daemon was registered, removes the restored key") {
    REQUIRE(follower.maintain_presence());
    copied = store.copy();
    static_cast<void>(poll());
    store.restore(copied);
    CHECK(is_registered());
    static_cast<void>(poll());
    follower.leave();
    time.advance(1s);
    REQUIRE(follower.maintain_presence());
    CHECK_FALSE(is_registered());
}

TEST_CASE_FIXTURE(follower_fixture, "run, failures for other reasons, reports each reason once") {
    constexpr std::size_t calls_per_fault = 4;
    const std::vector<store_fault> faults{store_fault::none, store_fault::unavailable,
                                          store_fault::large_reply, store_fault::none};
    std::vector<std::error_code> reported;
    REQUIRE(follower.maintain_presence());
    std::size_t calls = 0;
    store.set_faults([&](std::uint64_t) {
        const std::size_t number = calls++ / calls_per_fault;
        if (number + 1 >= faults.size()) {
            follower.stop();
        }
        return faults.at(std::min(number, faults.size() - 1));
    });
    follower.run([](const registry_update&) {},
                 [&](const store_status& status) { reported.push_back(status.error); });
    const std::vector<std::error_code> expected{
        {}, store::errc::unavailable, store::errc::reply_too_large, {}};
    CHECK(reported == expected);
}

// Guards against a follower that asks for all versions again and again, though it needs the latest.
TEST_CASE_FIXTURE(large_gap_fixture,
                  "poll, versions too large for one reply, reads the latest and all else") {
    put("s/b", "x");
    publish_versions();
    erase("s/a");
    put("d/d2", "10.0.0.2:7000 north");
    const registry_update update = poll();
    CHECK_FALSE(update.is_snapshot);
    REQUIRE(update.configuration);
    CHECK(update.configuration->version == 1050);
    CHECK(lists(update, "b"));
    CHECK(update.absent == std::vector<backend_id>{backend_id{"a"}});
    CHECK(update.daemons.size() == 1);
    CHECK(behind.size() == 1);
    REQUIRE(update.caught_up);
    CHECK(update.caught_up->before == behind.front());
    CHECK(update.caught_up->after > behind.front());
}

TEST_CASE_FIXTURE(large_gap_fixture, "poll, after catching up, watches for changes again") {
    publish_versions();
    static_cast<void>(poll());
    const std::uint64_t calls = store.calls();
    CHECK_FALSE(poll().caught_up);
    CHECK(store.calls() == calls + 1);
    put("config", "1051");
    const registry_update update = poll();
    CHECK(update.configuration->version == 1051);
    CHECK(update.present.empty());
}

TEST_CASE_FIXTURE(large_gap_fixture, "poll, store fails while catching up, goes on catching up") {
    publish_versions();
    std::uint64_t calls = 0;
    store.set_faults(
        [&](std::uint64_t) { return ++calls == 2 ? store_fault::unavailable : store_fault::none; });
    CHECK(follower.poll().error() == store::errc::unavailable);
    CHECK(poll().configuration->version == 1050);
    CHECK(behind.size() == 1);
}

// Guards against a follower that waits for other daemons, though it knows of a gap.
TEST_CASE_FIXTURE(large_gap_fixture,
                  "poll, store fails while catching up and others relay, goes on catching up") {
    registry_feed feed{time, 1h};
    follower.use_feed(feed);
    publish_versions();
    const revision newest = store.list("").value().at;
    feed.offer({newest, newest, {}});
    std::uint64_t calls = 0;
    store.set_faults(
        [&](std::uint64_t) { return ++calls == 2 ? store_fault::unavailable : store_fault::none; });
    CHECK(follower.poll().error() == store::errc::unavailable);
    CHECK(poll().caught_up);
}

TEST_CASE_FIXTURE(large_gap_fixture, "poll, large gap and history compacted, returns a snapshot") {
    publish_versions();
    erase("s/a");
    std::uint64_t calls = 0;
    store.set_faults(
        [&](std::uint64_t) { return ++calls == 1 ? store_fault::large_reply : store_fault::none; });
    store.compact();
    const registry_update update = poll();
    CHECK(update.is_snapshot);
    CHECK(update.configuration->version == 1050);
    CHECK_FALSE(lists(update, "a"));
    CHECK(update.caught_up);
}

TEST_CASE_FIXTURE(large_gap_fixture, "poll, servers too large for one reply, returns a snapshot") {
    for (int number = 0; number < 200; ++number) {
        put("s/b", "x");
    }
    const registry_update update = poll();
    CHECK(update.is_snapshot);
    CHECK(lists(update, "a"));
    CHECK(lists(update, "b"));
}

TEST_CASE_FIXTURE(large_gap_fixture, "poll, large gap after a restore, tells of the restore") {
    const auto copied = store.copy();
    publish_versions();
    static_cast<void>(poll());
    put("s/b", "x");
    publish_versions();
    store.restore(copied);
    const registry_update update = poll();
    REQUIRE(update.restored);
    CHECK(update.configuration->version == 1000);
}

// Guards against a grace period that starts anew with a reply that is too large.
TEST_CASE_FIXTURE(
    large_gap_fixture,
    "poll, outage and then a large gap, grace ends a stabilization after the outage") {
    erase("s/a");
    publish_versions();
    lose_store(10s);
    const time_point failed_at = time.now();
    time.advance(3s);
    store.set_fault(store_fault::large_reply);
    CHECK(follower.poll().error() == store::errc::reply_too_large);
    store.set_fault(store_fault::none);
    const registry_update update = poll();
    CHECK(update.absent == std::vector<backend_id>{backend_id{"a"}});
    CHECK(update.grace_ends_at == failed_at + options.stabilization);
}

// Guards against a daemon whose registration lapses while it serves.
TEST_CASE_FIXTURE(large_gap_fixture, "run, replies too large, renews the registration") {
    bool is_registered = false;
    follower.on_registration([&] {
        is_registered = true;
        follower.stop();
    });
    store.set_faults([&](std::uint64_t number) {
        if (number > 100) {
            follower.stop();
        }
        return store_fault::large_reply;
    });
    follower.run([](const registry_update&) {}, [](const store_status&) {});
    CHECK(is_registered);
}
