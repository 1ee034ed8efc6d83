#include "platform/entries.hpp"
#include "test/support/platform_stub.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

store::entry entry_of(const std::string& key, const std::string& value) {
    store::entry made;
    made.key = key;
    made.value = value;
    return made;
}

std::optional<discovery::backend> backend_of(const std::string& value) {
    return platform::read_backend(entry_of("servers/i-1", value));
}

const std::string sound =
    R"({"service":"s","address":"10.0.0.9:8080","zone":"a","version":"v1","slots":64,)"
    R"("state":"ready","coldLeftMs":0,"stage":"decode","seq":4,"born":1785535915070})";

} // namespace

TEST_CASE("read_configuration, routes and services, every field is decoded") {
    const auto read = platform::read_configuration(
        entry_of("op/config", test_support::sample_platform_configuration(9)));
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

TEST_CASE("read_configuration, split route, services keep their weights") {
    const auto read = platform::read_configuration(entry_of(
        "op/config",
        R"({"version":1,"services":[],"routes":[{"name":"r","host":"h","prefix":"/p/",)"
        R"("kind":"idempotent","split":[{"service":"a","weight":90},{"service":"b","weight":10}]}]})"));
    REQUIRE(read);
    REQUIRE(read->routes.at(0).services.size() == 2);
    CHECK(read->routes[0].services[1].weight == 10);
}

TEST_CASE("read_configuration, broken bytes or missing fields, is none") {
    CHECK_FALSE(platform::read_configuration(entry_of("op/config", "{\"version\":")));
    CHECK_FALSE(platform::read_configuration(entry_of("op/config", "[]")));
    CHECK_FALSE(platform::read_configuration(entry_of("op/config", R"({"version":"x"})")));
}

TEST_CASE("read_backend, sound entry, every field is decoded") {
    const auto read = backend_of(sound);
    REQUIRE(read);
    CHECK(read->id == backend_id{"i-1"});
    CHECK(read->service == service_id{"s"});
    CHECK(read->address == http::endpoint{"10.0.0.9", 8080});
    CHECK(read->role == backend_role::decode);
    CHECK(read->slots == 64);
    CHECK_FALSE(read->is_draining);
    CHECK(read->started == incarnation{1785535915070});
}

TEST_CASE("read_backend, no stage, is a plain server") {
    const auto read = backend_of(
        R"({"service":"s","address":"10.0.0.9:8080","zone":"a","slots":6,"state":"draining"})");
    REQUIRE(read);
    CHECK(read->role == backend_role::plain);
    CHECK(read->is_draining);
}

TEST_CASE("read_backend, entry of another writer, names no server") {
    const auto with = [](const std::string& from, const std::string& to) {
        std::string changed = sound;
        changed.replace(changed.find(from), from.size(), to);
        return backend_of(changed);
    };
    CHECK_FALSE(backend_of("\xff\xfe"));
    CHECK_FALSE(backend_of("{}"));
    CHECK_FALSE(with("\"ready\"", "\"resting\""));
    CHECK_FALSE(with("\"ready\"", "7"));
    CHECK_FALSE(with("\"decode\"", "\"other\""));
    CHECK_FALSE(with("10.0.0.9:8080", "nowhere"));
    CHECK_FALSE(with("\"slots\":64", "\"slots\":\"x\""));
    CHECK_FALSE(with("\"zone\":\"a\",", ""));
}
