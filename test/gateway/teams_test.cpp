#include "test/support/gateway_fixture.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::header_value;
using test_support::received_request;
using json = nlohmann::json;

settings::gateway_settings strict_settings() {
    settings::gateway_settings configured;
    configured.bounds.revocation = 1500ms;
    return configured;
}

/// A gateway whose configuration has two teams; version 1, without teams, comes before.
struct teams_fixture : gateway_fixture {
    std::uint64_t version = 1;

    teams_fixture() : teams_fixture(settings::gateway_settings{}) {}
    explicit teams_fixture(const settings::gateway_settings& initial) : gateway_fixture(initial) {
        publish(two_teams());
    }
    static json two_teams() {
        return json::array({{{"name", "blue"}, {"apiKeys", {"blue-key", "blue-new"}}},
                            {{"name", "red"},
                             {"apiKeys", {"red-key"}},
                             {"priority", 1},
                             {"unit", "tokens"},
                             {"plainTokens", 200},
                             {"ratePerS", 100},
                             {"burst", 400}}});
    }
    void publish(const json& teams) {
        auto configuration = json::parse(test_support::sample_platform_configuration(++version));
        configuration["tenants"] = teams;
        configuration["routes"][1]["public"] = true;
        stub.put("op/config", configuration.dump());
        REQUIRE(eventually([this] {
            return has_logged(R"("configuration.seen","version":)" + std::to_string(version));
        }));
    }
    static std::string key_field(const std::string& key) {
        return "Authorization: Token " + key + "\r\n";
    }
    [[nodiscard]] std::vector<received_request> seen(const std::string& target) const {
        std::vector<received_request> found = stub.seen();
        std::erase_if(found, [&](const received_request& row) { return row.target != target; });
        return found;
    }
};

struct strict_teams_fixture : teams_fixture {
    strict_teams_fixture() : teams_fixture(strict_settings()) {}
};

} // namespace

TEST_CASE_FIXTURE(teams_fixture, "admit, missing or unknown key, 401 at once with a challenge") {
    for (const std::string& fields :
         {std::string{}, key_field("other"), std::string{"Authorization: Basic blue-key\r\n"},
          key_field("blue-key") + key_field("red-key")}) {
        const std::string response = call("GET", "/plain/a", fields);
        CHECK(status_of(response) == 401);
        CHECK(response.find("WWW-Authenticate: Token") != std::string::npos);
    }
    CHECK(seen("/plain/a").empty());
}

TEST_CASE_FIXTURE(teams_fixture, "forward, plain request with a key, server sees the team only") {
    REQUIRE(status_of(call("GET", "/plain/a",
                           key_field("blue-key") + "X-Cicadahatch-Tenant: red\r\n")) == 200);
    const auto requests = seen("/plain/a");
    REQUIRE(requests.size() == 1);
    CHECK(header_value(requests[0], "X-Cicadahatch-Tenant") == "blue");
    CHECK(header_value(requests[0], "Authorization").empty());
}

TEST_CASE_FIXTURE(teams_fixture,
                  "forward, stream with a key, prefill and decode see the team only") {
    const std::string fields = "Authorization: token blue-new\r\n" + stream_head();
    REQUIRE(call("POST", "/stream/a", fields).find("id: 3") != std::string::npos);
    const auto requests = seen("/stream/a");
    REQUIRE(requests.size() >= 2);
    for (const received_request& row : requests) {
        CHECK(header_value(row, "X-Cicadahatch-Tenant") == "blue");
        CHECK(header_value(row, "Authorization").empty());
    }
}

TEST_CASE_FIXTURE(teams_fixture, "forward, public route, needs no key and passes none on") {
    CHECK(status_of(call("POST", "/book/a")) == 200);
    CHECK(status_of(call("POST", "/book/b", key_field("other"))) == 200);
    CHECK(header_value(seen("/book/b").at(0), "Authorization").empty());
    CHECK(header_value(seen("/book/b").at(0), "X-Cicadahatch-Tenant").empty());
}

TEST_CASE_FIXTURE(teams_fixture, "admit, withdrawn key, 401") {
    REQUIRE(status_of(call("GET", "/plain/a", key_field("blue-new"))) == 200);
    json teams = two_teams();
    teams[0]["apiKeys"] = {"blue-key"};
    publish(teams);
    CHECK(status_of(call("GET", "/plain/a", key_field("blue-new"))) == 401);
    CHECK(status_of(call("GET", "/plain/a", key_field("blue-key"))) == 200);
}

TEST_CASE_FIXTURE(teams_fixture, "admit, log lines, hold no key") {
    static_cast<void>(call("GET", "/plain/a", key_field("blue-key")));
    static_cast<void>(call("GET", "/plain/a", key_field("secret-guess")));
    CHECK_FALSE(has_logged("blue-key"));
    CHECK_FALSE(has_logged("secret-guess"));
}

TEST_CASE_FIXTURE(teams_fixture, "forward, usage cap exceeded, 429 with the time of room") {
    REQUIRE(eventually([this] { return has_logged("usage.share"); }));
    std::string refusal;
    for (int request = 0; request < 20 && refusal.empty(); ++request) {
        const std::string response = call("GET", "/plain/c", key_field("red-key"));
        refusal = status_of(response) == 429 ? response : std::string{};
    }
    REQUIRE_FALSE(refusal.empty());
    CHECK(refusal.find("Retry-After: ") != std::string::npos);
    CHECK(status_of(call("GET", "/plain/c", key_field("blue-key"))) == 200);
}

TEST_CASE_FIXTURE(teams_fixture, "forward, request beyond any cap, 429 without a time to return") {
    const std::string response =
        call("POST", "/stream/c",
             key_field("red-key") + stream_head() + "X-Cicadahatch-Length-Hint: 10\r\n");
    CHECK(status_of(response) != 401);
    const std::string huge =
        call("POST", "/stream/c",
             key_field("red-key") + "X-Cicadahatch-Token-Usage: 90000,80\r\n"
                                    "X-Cicadahatch-Prompt-Prefix: a:90000\r\n");
    CHECK(status_of(huge) == 429);
    CHECK(huge.find("Retry-After: ") == std::string::npos);
}

TEST_CASE_FIXTURE(
    strict_teams_fixture,
    "admit, store away for longer than keys may be stale, 503 but for public routes") {
    REQUIRE(status_of(call("GET", "/plain/a", key_field("blue-key"))) == 200);
    stub.set_store_mode(test_support::store_mode::busy);
    REQUIRE(eventually(
        [this] { return status_of(call("GET", "/plain/a", key_field("blue-key"))) == 503; }));
    const std::string refused = call("GET", "/plain/a", key_field("other"));
    CHECK(status_of(refused) == 503);
    CHECK(refused.find("Retry-After: ") != std::string::npos);
    CHECK(status_of(call("POST", "/book/a")) == 200);
    stub.set_store_mode(test_support::store_mode::normal);
    CHECK(eventually(
        [this] { return status_of(call("GET", "/plain/a", key_field("blue-key"))) == 200; }));
}
