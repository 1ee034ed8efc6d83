#include "cicadahatch/core"
#include "src/gateway/registry_publisher.hpp"
#include "src/gateway/registry_subscriber.hpp"
#include "src/scheduling/cell_home.hpp"
#include "test/support/reserved_port.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <set>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
namespace asio = forwarding::asio;

constexpr std::chrono::milliseconds subscriber_timeout = 300ms;

/// Four daemons of one failure domain and one of another, in this process.
struct registry_subscriber_fixture {
    system_clock time;
    manual_clock publisher_time; ///< unrelated to the subscriber's clock
    asio::io_context loop{1};
    std::string written;
    logging::event_log log{time, "self", {}, [this](std::string_view line) {
                               written.append(line);
                               return true;
                           }};
    std::map<daemon_id, std::unique_ptr<gateway::registry_publisher>> publishers;
    std::vector<discovery::registered_daemon> daemons;
    std::vector<daemon_id> order; ///< of the domain of four
    std::vector<discovery::store_delta> received;
    std::vector<std::string> at_publishers; ///< values of the configurations passed on to them
    std::vector<std::string> at_subscriber;
    std::unique_ptr<gateway::registry_subscriber> subscriber;
    /// Their connections are served until the loop ends.
    std::vector<std::unique_ptr<gateway::registry_subscriber>> former_subscribers;
    std::set<daemon_id> paused_publishers;
    std::uint64_t revisions = 1;

    registry_subscriber_fixture() {
        for (const std::string name : {"d1", "d2", "d3", "d4"}) {
            add(name, "north");
        }
        add("e1", "south");
        order = scheduling::cell_homes(cell_id{"north"}, names_of("north"), 4);
    }
    [[nodiscard]] std::vector<daemon_id> names_of(const std::string& domain) const {
        std::vector<daemon_id> names;
        for (const auto& row : daemons) {
            if (row.domain == domain_id{domain}) {
                names.push_back(row.id);
            }
        }
        return names;
    }
    void add(const std::string& name, const std::string& domain) {
        const http::endpoint place{"127.0.0.1", test_support::reserve_port()};
        auto& made = publishers[daemon_id{name}];
        made = std::make_unique<gateway::registry_publisher>(loop, time, publisher_time);
        made->on_configuration(
            [this](const store::entry& entry) { at_publishers.push_back(entry.value); });
        REQUIRE(made->open(place));
        daemons.push_back({daemon_id{name}, place, domain_id{domain}, place});
    }
    void subscribe_as(const daemon_id& self) {
        if (subscriber) {
            former_subscribers.push_back(std::move(subscriber));
        }
        subscriber = std::make_unique<gateway::registry_subscriber>(
            loop, time, log, self, domain_id{"north"}, subscriber_timeout,
            [this](discovery::store_delta delta) { received.push_back(std::move(delta)); });
        subscriber->on_configuration(
            [this](const store::entry& entry) { at_subscriber.push_back(entry.value); });
        subscriber->set_daemons(daemons);
    }
    static store::entry configuration(const std::string& value) {
        store::entry entry;
        entry.key = "config";
        entry.value = value;
        entry.modified = revision{7};
        return entry;
    }
    /// Runs the loop while all publishers that are not paused publish deltas.
    bool run_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout = 5s) {
        const auto until = std::chrono::steady_clock::now() + timeout;
        while (!condition() && std::chrono::steady_clock::now() < until) {
            subscriber->tick();
            for (const auto& [name, publisher] : publishers) {
                if (!paused_publishers.contains(name)) {
                    publisher->publish(next_delta());
                }
            }
            loop.run_for(20ms);
            loop.restart();
        }
        return condition();
    }
    discovery::store_delta next_delta() {
        discovery::store_delta made;
        made.after = revision{revisions};
        made.through = revision{++revisions};
        made.complete_as_of = publisher_time.now() - 500ms;
        return made;
    }
    [[nodiscard]] bool has_sources(const std::vector<daemon_id>& expected) const {
        return subscriber->sources() == expected;
    }
};

} // namespace

TEST_CASE_FIXTURE(registry_subscriber_fixture,
                  "last daemon of its domain, subscribes to the first two") {
    subscribe_as(order[3]);
    CHECK(run_until([this] { return received.size() > 4; }));
    CHECK(has_sources({order[0], order[1]}));
    CHECK(publishers[daemon_id{"e1"}]->subscribers() == 0);
    CHECK(written.find(R"("daemon":"self","event":"registry.source.heard","source":")" +
                       order[0].str() + "\"") != std::string::npos);
}

TEST_CASE_FIXTURE(registry_subscriber_fixture, "first daemon of its domain, has no source") {
    subscribe_as(order[0]);
    CHECK_FALSE(run_until([this] { return !received.empty(); }, 200ms));
    CHECK(has_sources({}));
}

TEST_CASE_FIXTURE(registry_subscriber_fixture,
                  "first daemon ends, next one in order becomes a source") {
    subscribe_as(order[3]);
    REQUIRE(run_until([this] { return received.size() > 4; }));
    publishers.erase(order[0]);
    CHECK(run_until([this] { return has_sources({order[1], order[2]}); }));
}

TEST_CASE_FIXTURE(registry_subscriber_fixture,
                  "both sources silent, another one becomes a source") {
    subscribe_as(order[3]);
    REQUIRE(run_until([this] { return received.size() > 4; }));
    paused_publishers = {order[0], order[1]};
    const std::size_t before = received.size();
    CHECK(run_until([&] { return received.size() > before + 4; }));
    const auto sources = subscriber->sources();
    CHECK(std::find(sources.begin(), sources.end(), order[2]) != sources.end());
}

TEST_CASE_FIXTURE(registry_subscriber_fixture, "first daemon is back, later sources are dropped") {
    subscribe_as(order[3]);
    paused_publishers = {order[0]};
    REQUIRE(run_until([this] { return has_sources({order[1], order[2]}); }));
    paused_publishers.clear();
    CHECK(run_until([this] { return has_sources({order[0], order[1]}); }));
}

TEST_CASE_FIXTURE(registry_subscriber_fixture, "source is no longer registered, is dropped") {
    subscribe_as(order[3]);
    REQUIRE(run_until([this] { return received.size() > 4; }));
    std::erase_if(daemons, [this](const auto& row) { return row.id == order[1]; });
    subscriber->set_daemons(daemons);
    CHECK(run_until([this] { return has_sources({order[0], order[2]}); }));
}

TEST_CASE_FIXTURE(registry_subscriber_fixture, "large delta, is published as a gap") {
    subscribe_as(order[3]);
    REQUIRE(run_until([this] { return received.size() > 4; }));
    discovery::store_delta large = next_delta();
    store::change change;
    change.changed.key = "config";
    change.changed.value = std::string(1024UL * 1024, 'x');
    large.changes.push_back(change);
    received.clear();
    paused_publishers = {order[0], order[1], order[2]};
    publishers[order[0]]->publish(large);
    REQUIRE(run_until([this] { return !received.empty(); }));
    CHECK(received.front().after == large.through);
    CHECK(received.front().changes.empty());
}

TEST_CASE_FIXTURE(registry_subscriber_fixture,
                  "subscriber that measures ages, dates deltas by its own clock, never too late") {
    subscribe_as(order[1]);
    subscriber->measure_age(time);
    REQUIRE(run_until(
        [this] { return !received.empty() && received.back().complete_as_of.has_value(); }));
    CHECK_FALSE(received.front().complete_as_of);
    CHECK(*received.back().complete_as_of <= time.now() - 500ms);
}

TEST_CASE_FIXTURE(registry_subscriber_fixture, "subscriber that measures no ages, dates no delta") {
    subscribe_as(order[1]);
    REQUIRE(run_until([this] { return received.size() > 4; }));
    CHECK_FALSE(received.back().complete_as_of);
}

TEST_CASE_FIXTURE(registry_subscriber_fixture,
                  "publisher passes a configuration on, present and later subscribers receive it") {
    subscribe_as(order[1]);
    REQUIRE(run_until([this] { return !received.empty(); }));
    const store::entry lost = configuration("lost");
    publishers[order[0]]->pass_on(&lost);
    CHECK(run_until([this] { return at_subscriber.size() == 1; }));
    subscribe_as(order[2]);
    CHECK(run_until([this] { return at_subscriber.size() == 2; }));
    CHECK(at_subscriber == std::vector<std::string>{"lost", "lost"});
    publishers[order[0]]->pass_on(nullptr);
    subscribe_as(order[3]);
    received.clear();
    REQUIRE(run_until([this] { return received.size() > 4; }));
    CHECK(at_subscriber.size() == 2);
}

TEST_CASE_FIXTURE(registry_subscriber_fixture,
                  "subscriber passes a configuration on, present and later sources receive it") {
    subscribe_as(order[1]);
    const store::entry lost = configuration("lost");
    subscriber->pass_on(&lost);
    REQUIRE(run_until([this] { return !received.empty(); }));
    CHECK(run_until([this] { return at_publishers.size() == 1; }));
    const store::entry newer = configuration("newer");
    subscriber->pass_on(&newer);
    CHECK(run_until([this] { return at_publishers.size() == 2; }));
    CHECK(at_publishers == std::vector<std::string>{"lost", "newer"});
}
