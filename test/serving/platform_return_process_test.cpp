#include "cicadahatch/configuration"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

/// More daemons of one failure domain than watch the store.
struct domain_fixture {
    cluster running;
    std::vector<std::string> names = {"entry-1", "entry-2", "entry-3", "entry-4", "entry-5"};

    domain_fixture() {
        for (const std::string& name : names) {
            running.start_daemon(name, "a");
        }
        publish("booking");
    }

    void publish(const std::string& service) {
        running.start_backend(service, service + "-1", backend_role::plain, "a");
        running.publish(plain_service(service));
    }

    bool has_service(const std::string& daemon, const std::string& service) {
        const json content =
            json::parse(fetch(running.admin(daemon), "/admin/v1/configuration"), nullptr, false);
        if (!content.contains("services")) {
            return false;
        }
        const json& services = content["services"];
        return std::find(services.begin(), services.end(), service) != services.end();
    }

    bool is_in_force_everywhere(const std::string& service) {
        return eventually([&] {
            return std::all_of(names.begin(), names.end(),
                               [&](const std::string& name) { return has_service(name, service); });
        });
    }

    json counters() {
        return json::parse(fetch(running.platform().place(), "/control/counters"), nullptr, false);
    }

    void set_mode(const char* mode) {
        post(running.platform().place(), "/control", json{{"mode", mode}}.dump());
    }
};

} // namespace

TEST_CASE_FIXTURE(domain_fixture,
                  "platform, back after an outage, a change is in force at all daemons") {
    REQUIRE(is_in_force_everywhere("booking"));
    const auto calls_before = counters().at("calls").get<std::uint64_t>();
    set_mode("unavailable");
    // Every daemon that watches has failed by then, and has had time to try again.
    REQUIRE(eventually([&] {
        return counters().at("calls") >= calls_before + configuration::watchers_per_domain;
    }));
    std::this_thread::sleep_for(2s);
    set_mode("none");
    publish("stock");
    CHECK(is_in_force_everywhere("stock"));
}

TEST_CASE_FIXTURE(domain_fixture, "platform, five daemons of a domain, three of them watch") {
    REQUIRE(is_in_force_everywhere("booking"));
    CHECK(eventually(
        [&] { return counters().at("open_watches") == configuration::watchers_per_domain; }));
}
