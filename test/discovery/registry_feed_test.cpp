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

constexpr std::chrono::milliseconds silence = 1200ms;

std::optional<routing::configuration> read_configuration(const store::entry& entry) {
    routing::configuration read;
    read.version = std::stoull(entry.value);
    return read;
}

std::optional<backend> read_backend(const store::entry& entry) {
    backend read;
    read.id = backend_id{entry.key.substr(2)};
    return read;
}

follower_options make_rules() {
    follower_options made;
    made.watch_timeout = 0ms;
    made.relaying_watch_timeout = 0ms;
    return made;
}

/// A daemon that follows the store.
struct daemon_of_test {
    registry_feed heard;
    follower followed;
    std::vector<store_delta> looks;

    daemon_of_test(const cicadahatch::clock& time, store::key_value_store& kept,
                   const std::string& name)
        : heard(time, silence),
          followed(kept, {"config", "s/", "d/", read_configuration, read_backend}, make_rules(),
                   time, {daemon_id{name}, {"10.0.0.1", 7000}, domain_id{"a"}, {}}) {
        followed.use_feed(heard);
        followed.on_delta([this](store_delta look) { looks.push_back(std::move(look)); });
    }
    [[nodiscard]] bool holds(const registry_update& update, const std::string& id) const {
        return std::any_of(update.present.begin(), update.present.end(),
                           [&](const backend& row) { return row.id == backend_id{id}; });
    }
};

struct registry_feed_fixture {
    manual_clock time;
    test_support::memory_store kept{time};
    daemon_of_test reader{time, kept, "d1"};
    daemon_of_test listener{time, kept, "d2"};

    registry_feed_fixture() {
        time.advance(1h);
        put("config", "1");
        static_cast<void>(reader.followed.poll().value());
        static_cast<void>(listener.followed.poll().value());
        reader.looks.clear();
        listener.looks.clear();
    }
    void put(const std::string& key, const std::string& value) {
        REQUIRE(test_support::put(kept, key, value));
    }
    void erase(const std::string& key) { REQUIRE(test_support::erase(kept, key)); }
    /// Has an entry that both know end after an outage of which only the reader learns.
    void erase_after_outage(const std::string& key) {
        put(key, "x");
        static_cast<void>(pass_on());
        kept.set_fault(store_fault::unavailable);
        REQUIRE_FALSE(reader.followed.poll());
        kept.set_fault(store_fault::none);
        erase(key);
    }
    /// Has the reader look and the listener hear of it.
    registry_update pass_on() {
        static_cast<void>(reader.followed.poll().value());
        for (store_delta& look : reader.looks) {
            listener.heard.offer(std::move(look));
        }
        reader.looks.clear();
        return listener.followed.poll().value();
    }
};

} // namespace

TEST_CASE_FIXTURE(registry_feed_fixture, "changes, heard of, are taken in without a store call") {
    put("config", "2");
    put("s/a", "x");
    const std::size_t before = kept.calls();
    const registry_update update = pass_on();
    CHECK(kept.calls() - before == 1);
    CHECK(update.is_relayed);
    REQUIRE(update.configuration);
    CHECK(update.configuration->version == 2);
    CHECK(listener.holds(update, "a"));
    CHECK(listener.looks.empty());
}

TEST_CASE_FIXTURE(registry_feed_fixture, "look heard twice, second time brings nothing") {
    put("s/a", "x");
    static_cast<void>(reader.followed.poll().value());
    const store_delta look = reader.looks.back();
    reader.looks.clear();
    listener.heard.offer(look);
    CHECK(listener.holds(listener.followed.poll().value(), "a"));
    put("s/a", "y");
    static_cast<void>(pass_on());
    listener.heard.offer(look);
    CHECK(listener.followed.poll().value().present.empty());
}

TEST_CASE_FIXTURE(registry_feed_fixture, "older version heard after a newer one, is not taken in") {
    put("config", "2");
    static_cast<void>(reader.followed.poll().value());
    const store_delta older = reader.looks.back();
    reader.looks.clear();
    put("config", "3");
    REQUIRE(pass_on().configuration->version == 3);
    listener.heard.offer(older);
    CHECK_FALSE(listener.followed.poll().value().configuration);
}

TEST_CASE_FIXTURE(registry_feed_fixture, "look missed, gap is filled from the store") {
    put("s/a", "x");
    static_cast<void>(reader.followed.poll().value());
    reader.looks.clear();
    put("s/b", "x");
    const registry_update update = pass_on();
    CHECK(listener.holds(update, "a"));
    CHECK(listener.holds(update, "b"));
}

TEST_CASE_FIXTURE(registry_feed_fixture, "entry ends and returns between looks, server stays") {
    put("s/a", "x");
    static_cast<void>(pass_on());
    erase("s/a");
    put("s/a", "x");
    const registry_update update = pass_on();
    CHECK(update.absent.empty());
    CHECK(listener.holds(update, "a"));
}

TEST_CASE_FIXTURE(registry_feed_fixture, "nobody heard for the silence, daemon reads for itself") {
    static_cast<void>(pass_on());
    put("s/a", "x");
    CHECK(listener.heard.is_live());
    time.advance(silence + 1ms);
    CHECK_FALSE(listener.heard.is_live());
    CHECK(listener.holds(listener.followed.poll().value(), "a"));
}

TEST_CASE_FIXTURE(registry_feed_fixture, "others rely on the daemon, it reads for itself") {
    static_cast<void>(pass_on());
    listener.heard.set_relaying(true);
    put("s/a", "x");
    CHECK(listener.holds(listener.followed.poll().value(), "a"));
    CHECK_FALSE(listener.looks.empty());
}

TEST_CASE_FIXTURE(registry_feed_fixture, "store turns the daemon away, others are heard instead") {
    kept.set_fault(store_fault::unavailable);
    REQUIRE_FALSE(listener.followed.poll());
    kept.set_fault(store_fault::none);
    put("config", "7");
    CHECK(pass_on().configuration->version == 7);
}

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "entry ends after an outage that only the reader has seen, "
                  "is kept while it may come back") {
    erase_after_outage("s/a");
    const registry_update update = pass_on();
    CHECK(update.absent == std::vector{backend_id{"a"}});
    CHECK(update.grace_ends_at > time.now() + 2s);
    CHECK(update.grace_ends_at <= time.now() + 2400ms);
}

TEST_CASE_FIXTURE(registry_feed_fixture,
                  "look of an outage, taken late, entries are kept no longer") {
    erase_after_outage("s/a");
    static_cast<void>(reader.followed.poll().value());
    listener.heard.offer(reader.looks.back());
    const time_point heard_at = time.now();
    time.advance(1s);
    const registry_update update = listener.followed.poll().value();
    CHECK(update.is_relayed);
    CHECK(update.grace_ends_at <= heard_at + 2400ms);
}

TEST_CASE_FIXTURE(registry_feed_fixture, "others rely on the daemon, what it hears is not kept") {
    static_cast<void>(reader.followed.poll().value());
    listener.heard.offer(reader.looks.back());
    listener.heard.set_relaying(true);
    listener.heard.offer(reader.looks.back());
    listener.heard.set_relaying(false);
    CHECK_FALSE(listener.heard.take(0ms));
}
