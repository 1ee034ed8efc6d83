#include "platform/entries.hpp"
#include "test/support/platform_stub.hpp"

#include <doctest/doctest.h>
#include <sys/resource.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

store::entry make_entry(const std::string& key, const std::string& value) {
    store::entry entry;
    entry.key = key;
    entry.value = value;
    return entry;
}

std::optional<discovery::backend> read_backend(const std::string& value) {
    return platform::read_backend(make_entry("servers/i-1", value));
}

const std::string valid_entry =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":64,)"
    R"("state":"ready","coldLeftMs":0,"stage":"decode","seq":4,"born":1785535915070})";

/// \returns the largest resident memory of this process so far
long peak_memory_kb() {
    rusage usage{};
    REQUIRE(getrusage(RUSAGE_SELF, &usage) == 0);
    return usage.ru_maxrss; // NOLINT(cppcoreguidelines-pro-type-union-access): system structure
}

} // namespace

TEST_CASE("read_configuration, routes and services, decodes every field") {
    const auto read = platform::read_configuration(
        make_entry("op/config", test_support::sample_platform_configuration(9)));
    REQUIRE(read);
    CHECK(read->version == 9);
    REQUIRE(read->routes.size() == 4);
    const routing::route& resumable = read->routes[3];
    CHECK(resumable.kind == routing::request_kind::streaming);
    CHECK(resumable.is_resumable);
    CHECK(resumable.max_attempts == 2);
    CHECK(resumable.timeout == 5000ms);
    CHECK(resumable.objective == 300ms);
    CHECK(resumable.inter_event_objective == 100ms);
    REQUIRE(read->services.size() == 2);
    CHECK_FALSE(read->services[0].engine);
    REQUIRE(read->services[1].engine);
    CHECK(read->services[1].engine->kv_handle_lifetime == 500ms);
    CHECK(read->services[1].engine->max_reservation_lease == 2000ms);
    CHECK(read->limits.head_bytes == 4096);
}

TEST_CASE("read_configuration, split route, decodes the weights") {
    const auto read = platform::read_configuration(make_entry(
        "op/config",
        R"({"version":1,"services":[],"routes":[{"name":"r","host":"h","prefix":"/p/",)"
        R"("kind":"idempotent","split":[{"service":"a","weight":90},{"service":"b","weight":10}]}]})"));
    REQUIRE(read);
    REQUIRE(read->routes.at(0).services.size() == 2);
    CHECK(read->routes[0].services[1].weight == 10);
}

TEST_CASE("read_configuration, invalid JSON or missing fields, returns nothing") {
    CHECK_FALSE(platform::read_configuration(make_entry("op/config", "{\"version\":")));
    CHECK_FALSE(platform::read_configuration(make_entry("op/config", "[]")));
    CHECK_FALSE(platform::read_configuration(make_entry("op/config", R"({"version":"x"})")));
}

TEST_CASE("read_backend, valid entry, decodes every field") {
    const auto read = read_backend(valid_entry);
    REQUIRE(read);
    CHECK(read->id == backend_id{"i-1"});
    CHECK(read->service == service_id{"s"});
    CHECK(read->address == http::endpoint{"10.0.0.9", 8080});
    CHECK(read->role == backend_role::decode);
    CHECK(read->slots == 64);
    CHECK_FALSE(read->is_draining);
    CHECK(read->started == incarnation{1785535915070});
}

TEST_CASE("read_backend, no stage, returns a plain backend server") {
    const auto read = read_backend(
        R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":6,"state":"draining"})");
    REQUIRE(read);
    CHECK(read->role == backend_role::plain);
    CHECK(read->is_draining);
}

TEST_CASE("read_backend, malformed entry, returns nothing") {
    const auto replace = [](const std::string& from, const std::string& to) {
        std::string changed = valid_entry;
        changed.replace(changed.find(from), from.size(), to);
        return read_backend(changed);
    };
    CHECK_FALSE(read_backend("\xff\xfe"));
    CHECK_FALSE(read_backend("{}"));
    CHECK_FALSE(replace("\"ready\"", "\"resting\""));
    CHECK_FALSE(replace("\"ready\"", "7"));
    CHECK_FALSE(replace("\"decode\"", "\"other\""));
    CHECK_FALSE(replace("10.0.0.9:8080", "nowhere"));
    CHECK_FALSE(replace("\"slots\":64", "\"slots\":\"x\""));
    CHECK_FALSE(replace("\"zone\":\"a\",", ""));
}

TEST_CASE("read_backend, numbers that are no count or time, returns nothing") {
    const auto with = [](const std::string& slots, const std::string& born) {
        return std::string{R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":)"} +
               slots + R"(,"state":"ready","stage":"decode","born":)" + born + "}";
    };
    REQUIRE(read_backend(with("64", "1000")));
    for (const std::string slots :
         {"-1", "4294967296", "18446744073709551616", "1e300", "1e400", "6.5", "\"6\"", "null"}) {
        CAPTURE(slots);
        CHECK_FALSE(read_backend(with(slots, "1000")));
    }
    for (const std::string born :
         {"-1", "1e300", "1e400", "18446744073709551616", "0.5", "\"1\""}) {
        CAPTURE(born);
        CHECK_FALSE(read_backend(with("64", born)));
    }
}

TEST_CASE("read_backend, port out of range, returns nothing") {
    for (const std::string port : {"0", "65536", "-1", "99999999999999999999", "", "8080x"}) {
        CAPTURE(port);
        CHECK_FALSE(read_backend(std::string{R"({"service":"s","address":"10.0.0.9:)"} + port +
                                 R"(","zone":"a","slots":6,"state":"ready"})"));
    }
}

TEST_CASE("read_backend, names longer than those that daemons exchange, returns nothing") {
    const std::string name(129, 'x');
    CHECK_FALSE(platform::read_backend(make_entry("servers/" + name, valid_entry)));
    CHECK_FALSE(platform::read_backend(make_entry("servers/", valid_entry)));
    CHECK_FALSE(read_backend(R"({"service":"s","address":"10.0.0.9:80","slots":6,"state":"ready",)"
                             R"("zone":")" +
                             name + R"("})"));
}

TEST_CASE("read_backend, deeply nested entry of the largest size, takes little memory") {
    constexpr std::size_t largest_value = 1'048'576; // bytes; the platform's limit
    constexpr long allowed_growth = 16'384;          // KB; a fraction of the smallest VM
    const long before = peak_memory_kb();
    const std::string opening(largest_value / 2 - 100, '[');
    const std::string closing(opening.size(), ']');
    CHECK_FALSE(read_backend(R"({"service":"s","zone":)" + opening + closing + "}"));
    CHECK_FALSE(read_backend(opening + opening));
    CHECK(peak_memory_kb() - before < allowed_growth);
}

TEST_CASE("read_configuration, teams, decodes keys, priority and cap") {
    const auto read = platform::read_configuration(make_entry(
        "op/config",
        R"({"version":1,"services":[],"routes":[{"name":"r","host":"h","prefix":"/p/",)"
        R"("kind":"idempotent","service":"s","public":true}],"tenants":[{"name":"blue",)"
        R"("apiKeys":["k1","k2"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":29000,)"
        R"("burst":29000},{"name":"red","apiKeys":["k3"]}]})"));
    REQUIRE(read);
    CHECK(read->routes.at(0).is_public);
    REQUIRE(read->teams);
    REQUIRE(read->teams->size() == 2);
    const routing::team& blue = read->teams->at(0);
    CHECK(blue.id == team_id{"blue"});
    CHECK(blue.keys == std::vector<std::string>{"k1", "k2"});
    CHECK(blue.priority == 1);
    CHECK(blue.cap == routing::usage_cap{29000, 29000, true, 200});
    const routing::team& red = read->teams->at(1);
    CHECK_FALSE(red.priority);
    CHECK(red.cap.units_per_second == 0);
}

TEST_CASE("read_configuration, no teams, callers need no keys") {
    const auto read = platform::read_configuration(
        make_entry("op/config", test_support::sample_platform_configuration(9)));
    REQUIRE(read);
    CHECK_FALSE(read->teams);
}
