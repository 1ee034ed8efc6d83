#include "cicadahatch/core"
#include "src/gateway/registry_listener.hpp"
#include "src/gateway/registry_publisher.hpp"
#include "src/scheduling/cell_home.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <set>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
namespace asio = forwarding::asio;
using forwarding::tcp;

constexpr std::chrono::milliseconds silence = 300ms;

/// Four daemons of one failure domain and one of another, in this process.
struct registry_listener_fixture {
    system_clock time;
    asio::io_context loop{1};
    std::string written;
    logging::event_log log{time, "self", {}, [this](std::string_view line) {
                               written.append(line);
                               return true;
                           }};
    std::map<daemon_id, std::unique_ptr<gateway::registry_publisher>> publishers;
    std::vector<discovery::registered_daemon> daemons;
    std::vector<daemon_id> order; ///< of the domain of four
    std::vector<discovery::store_delta> heard;
    std::unique_ptr<gateway::registry_listener> listener;
    std::set<daemon_id> silent;
    std::uint64_t revisions = 1;

    registry_listener_fixture() {
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
        tcp::acceptor probe{loop, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
        const http::endpoint place{"127.0.0.1", probe.local_endpoint().port()};
        probe.close();
        auto& made = publishers[daemon_id{name}];
        made = std::make_unique<gateway::registry_publisher>(loop, time);
        REQUIRE(made->open(place));
        daemons.push_back({daemon_id{name}, place, domain_id{domain}, place});
    }
    void listen_as(const daemon_id& self) {
        listener = std::make_unique<gateway::registry_listener>(
            loop, time, log, self, domain_id{"north"}, silence,
            [this](discovery::store_delta look) { heard.push_back(std::move(look)); });
        listener->set_daemons(daemons);
    }
    /// Lets time pass: all daemons that are not silent tell of a look some times a second.
    bool runs_until(const std::function<bool()>& holds, std::chrono::milliseconds at_most = 5s) {
        const auto until = std::chrono::steady_clock::now() + at_most;
        while (!holds() && std::chrono::steady_clock::now() < until) {
            listener->tend();
            for (const auto& [name, publisher] : publishers) {
                if (!silent.contains(name)) {
                    publisher->publish(look());
                }
            }
            loop.run_for(20ms);
            loop.restart();
        }
        return holds();
    }
    discovery::store_delta look() {
        discovery::store_delta made;
        made.after = revision{revisions};
        made.through = revision{++revisions};
        return made;
    }
    [[nodiscard]] bool hears(const std::vector<daemon_id>& expected) const {
        return listener->sources() == expected;
    }
};

} // namespace

TEST_CASE_FIXTURE(registry_listener_fixture, "last daemon of its domain, hears the first two") {
    listen_as(order[3]);
    CHECK(runs_until([this] { return heard.size() > 4; }));
    CHECK(hears({order[0], order[1]}));
    CHECK(publishers[daemon_id{"e1"}]->subscribers() == 0);
    CHECK(written.find(R"("daemon":"self","event":"registry.source.heard","source":")" +
                       order[0].str() + "\"") != std::string::npos);
}

TEST_CASE_FIXTURE(registry_listener_fixture, "first daemon of its domain, hears nobody") {
    listen_as(order[0]);
    CHECK_FALSE(runs_until([this] { return !heard.empty(); }, 200ms));
    CHECK(hears({}));
}

TEST_CASE_FIXTURE(registry_listener_fixture, "first daemon ends, the next in order is heard") {
    listen_as(order[3]);
    REQUIRE(runs_until([this] { return heard.size() > 4; }));
    publishers.erase(order[0]);
    CHECK(runs_until([this] { return hears({order[1], order[2]}); }));
}

TEST_CASE_FIXTURE(registry_listener_fixture, "both daemons are silent, another one is heard") {
    listen_as(order[3]);
    REQUIRE(runs_until([this] { return heard.size() > 4; }));
    silent = {order[0], order[1]};
    const std::size_t before = heard.size();
    CHECK(runs_until([&] { return heard.size() > before + 4; }));
    const auto sources = listener->sources();
    CHECK(std::find(sources.begin(), sources.end(), order[2]) != sources.end());
}

TEST_CASE_FIXTURE(registry_listener_fixture, "first daemons are back, the others are left alone") {
    listen_as(order[3]);
    silent = {order[0]};
    REQUIRE(runs_until([this] { return hears({order[1], order[2]}); }));
    silent.clear();
    CHECK(runs_until([this] { return hears({order[0], order[1]}); }));
}

TEST_CASE_FIXTURE(registry_listener_fixture, "daemon is not registered any more, is not heard") {
    listen_as(order[3]);
    REQUIRE(runs_until([this] { return heard.size() > 4; }));
    std::erase_if(daemons, [this](const auto& row) { return row.id == order[1]; });
    listener->set_daemons(daemons);
    CHECK(runs_until([this] { return hears({order[0], order[2]}); }));
}

TEST_CASE_FIXTURE(registry_listener_fixture, "large look, leaves a gap in place of its bytes") {
    listen_as(order[3]);
    REQUIRE(runs_until([this] { return heard.size() > 4; }));
    discovery::store_delta large = look();
    store::change change;
    change.changed.key = "config";
    change.changed.value = std::string(1024UL * 1024, 'x');
    large.changes.push_back(change);
    heard.clear();
    silent = {order[0], order[1], order[2]};
    publishers[order[0]]->publish(large);
    REQUIRE(runs_until([this] { return !heard.empty(); }));
    CHECK(heard.front().after == large.through);
    CHECK(heard.front().changes.empty());
}
