#include "src/discovery/follower.hpp"
#include "test/support/memory_store.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::discovery;
using test_support::store_fault;

/// Entries of this test: a configuration is its version, a backend server its service.
std::optional<routing::configuration> read_configuration(const store::entry& entry) {
    if (entry.value == "bad") {
        return std::nullopt;
    }
    routing::configuration read;
    read.version = std::stoull(entry.value);
    return read;
}

std::optional<backend> read_backend(const store::entry& entry) {
    if (entry.value == "bad") {
        return std::nullopt;
    }
    backend read;
    read.id = backend_id{entry.key.substr(2)};
    read.service = service_id{entry.value};
    return read;
}

struct follower_fixture {
    manual_clock time;
    test_support::memory_store kept{time};
    follower_options options;
    follower followed{kept,
                      {"config", "s/", "d/", read_configuration, read_backend},
                      make_rules(),
                      time,
                      {daemon_id{"d1"}, {"10.0.0.1", 7000}, domain_id{"a"}}};

    static follower_options make_rules() {
        follower_options made;
        made.watch_timeout = 0ms;
        return made;
    }
    void put(const std::string& key, const std::string& value) {
        REQUIRE(test_support::put(kept, key, value));
    }
    void erase(const std::string& key) { REQUIRE(test_support::erase(kept, key)); }
    registry_update poll() { return followed.poll().value(); }
};

bool holds(const registry_update& update, const std::string& id) {
    return std::any_of(update.present.begin(), update.present.end(),
                       [&](const backend& row) { return row.id == backend_id{id}; });
}

} // namespace

TEST_CASE_FIXTURE(follower_fixture, "daemons, with and without their failure domain, are listed") {
    put("d/d2", "10.0.0.2:7000 north");
    put("d/d3", "10.0.0.3:7000");
    put("d/d4", "nowhere north");
    const registry_update update = poll();
    REQUIRE(update.daemons.size() == 2);
    CHECK(update.daemons[0].address.host == "10.0.0.2");
    CHECK(update.daemons[0].domain == domain_id{"north"});
    CHECK(update.daemons[1].domain.empty());
}

TEST_CASE_FIXTURE(follower_fixture, "registration, is read back with its failure domain") {
    REQUIRE(followed.maintain_presence());
    const registry_update update = poll();
    REQUIRE(update.daemons.size() == 1);
    CHECK(update.daemons[0] ==
          registered_daemon{daemon_id{"d1"}, {"10.0.0.1", 7000}, domain_id{"a"}});
}

TEST_CASE_FIXTURE(follower_fixture, "poll, first time, everything is listed") {
    put("config", "3");
    put("s/a", "x");
    const registry_update update = poll();
    CHECK(update.is_snapshot);
    CHECK(update.configuration->version == 3);
    CHECK(holds(update, "a"));
}

TEST_CASE_FIXTURE(follower_fixture, "poll, new version and new server, only these are told") {
    put("s/a", "x");
    static_cast<void>(poll());
    put("config", "4");
    put("s/b", "x");
    const registry_update update = poll();
    CHECK_FALSE(update.is_snapshot);
    CHECK(update.configuration->version == 4);
    CHECK(holds(update, "b"));
    CHECK_FALSE(holds(update, "a"));
}

TEST_CASE_FIXTURE(follower_fixture, "poll, older version after a newer one, newer one is told") {
    static_cast<void>(poll());
    put("config", "9");
    put("config", "7");
    CHECK(poll().configuration->version == 9);
}

TEST_CASE_FIXTURE(follower_fixture, "poll, entry of another writer, names no server") {
    put("s/a", "x");
    static_cast<void>(poll());
    put("s/a", "bad");
    const registry_update update = poll();
    CHECK(update.present.empty());
    CHECK(update.absent == std::vector{backend_id{"a"}});
    CHECK(update.unreadable == std::vector<std::string>{"s/a"});
}

TEST_CASE_FIXTURE(follower_fixture, "poll, entry ends and returns in one update, server stays") {
    put("s/a", "x");
    static_cast<void>(poll());
    erase("s/a");
    put("s/a", "x");
    const registry_update update = poll();
    CHECK(holds(update, "a"));
    CHECK(update.absent.empty());
}

TEST_CASE_FIXTURE(follower_fixture, "poll, entry returns and ends in one update, server is gone") {
    put("s/a", "x");
    static_cast<void>(poll());
    put("s/a", "y");
    erase("s/a");
    const registry_update update = poll();
    CHECK_FALSE(holds(update, "a"));
    CHECK(update.absent == std::vector{backend_id{"a"}});
}

TEST_CASE_FIXTURE(follower_fixture, "poll, entry ends in a calm store, is not kept") {
    put("s/a", "x");
    static_cast<void>(poll());
    time.advance(10s);
    erase("s/a");
    CHECK(poll().grace_ends_at <= time.now());
}

TEST_CASE_FIXTURE(follower_fixture,
                  "poll, entry lapsed during an outage, is kept for the settling") {
    put("s/a", "x");
    static_cast<void>(poll());
    kept.set_fault(store_fault::unavailable);
    CHECK_FALSE(followed.poll());
    kept.set_fault(store_fault::none);
    erase("s/a");
    const registry_update update = poll();
    CHECK(update.grace_ends_at == time.now() + options.grace_period);
    time.advance(options.grace_period + 1ms);
    put("s/b", "x");
    CHECK(poll().grace_ends_at <= time.now());
}

TEST_CASE_FIXTURE(follower_fixture, "poll, history forgotten, everything is listed anew") {
    put("s/a", "x");
    static_cast<void>(poll());
    put("config", "5");
    kept.compact();
    const registry_update update = poll();
    CHECK(update.is_snapshot);
    CHECK(update.configuration->version == 5);
}

TEST_CASE_FIXTURE(follower_fixture,
                  "maintain_presence, first time, daemon is listed with its place") {
    REQUIRE(followed.maintain_presence());
    const registry_update update = poll();
    REQUIRE(update.daemons.size() == 1);
    CHECK(update.daemons[0].id == daemon_id{"d1"});
    CHECK(update.daemons[0].address == http::endpoint{"10.0.0.1", 7000});
}

TEST_CASE_FIXTURE(follower_fixture, "maintain_presence, key of an earlier process, is taken over") {
    put("d/d1", "10.9.9.9:1");
    REQUIRE(followed.maintain_presence());
    CHECK(poll().daemons[0].address == http::endpoint{"10.0.0.1", 7000});
}

TEST_CASE_FIXTURE(follower_fixture, "maintain_presence, lease has lapsed, daemon registers again") {
    REQUIRE(followed.maintain_presence());
    time.advance(60s);
    REQUIRE(followed.maintain_presence());
    CHECK(poll().daemons.size() == 1);
}

TEST_CASE_FIXTURE(follower_fixture, "withdraw_presence, registered daemon, is no longer listed") {
    REQUIRE(followed.maintain_presence());
    CHECK(poll().daemons.size() == 1);
    followed.withdraw_presence();
    CHECK(poll().daemons.empty());
}
