#include "src/routing/key_index.hpp"
#include "src/routing/route_table.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::routing;

team make_team(const std::string& name, std::vector<std::string> keys,
               std::optional<std::uint32_t> priority = {}) {
    team row;
    row.id = team_id{name};
    row.keys = std::move(keys);
    row.priority = priority;
    return row;
}

route make_route(std::uint32_t priority, bool is_public = false) {
    route row;
    row.name = "r";
    row.host = "h";
    row.path_prefix = "/";
    row.priority = priority;
    row.is_public = is_public;
    row.services = {{service_id{"s"}, 1}};
    return row;
}

} // namespace

TEST_CASE("key_index, several teams, finds the team of each key") {
    const std::vector<team> teams{make_team("a", {"k1", "k2"}), make_team("b", {"k3"})};
    const key_index keys{teams, 42};
    REQUIRE(keys.find("k2") != nullptr);
    CHECK(keys.find("k2")->id == team_id{"a"});
    CHECK(keys.find("k3")->id == team_id{"b"});
    CHECK(keys.find("k4") == nullptr);
    CHECK(keys.find("") == nullptr);
    CHECK(keys.find("k1 ") == nullptr);
}

TEST_CASE("key_index, thousands of keys, finds each") {
    std::vector<team> teams;
    for (int row = 0; row < 16; ++row) {
        std::vector<std::string> keys;
        keys.reserve(500);
        for (int key = 0; key < 500; ++key) {
            keys.push_back("key-" + std::to_string(row) + "-" + std::to_string(key));
        }
        teams.push_back(make_team("t" + std::to_string(row), std::move(keys)));
    }
    const key_index keys{teams, 7};
    for (const team& row : teams) {
        for (const std::string& key : row.keys) {
            REQUIRE(keys.find(key) == &row);
        }
    }
}

TEST_CASE("route_table, teams and a public route, only the other route requires a key") {
    configuration configured;
    configured.routes = {make_route(0), make_route(0, true)};
    const route_table without{configured};
    CHECK_FALSE(without.requires_key(without.routes()[0]));
    configured.teams = std::vector{make_team("a", {"k"})};
    const route_table with{configured};
    CHECK(with.requires_key(with.routes()[0]));
    CHECK_FALSE(with.requires_key(with.routes()[1]));
}

TEST_CASE("priority_level, teams with priorities, the team's goes before the route's") {
    configuration configured;
    configured.routes = {make_route(0), make_route(2)};
    configured.teams = std::vector{make_team("first", {"k1"}, 1), make_team("second", {"k2"}, 3)};
    const route_table table{configured};
    const route& urgent = table.routes()[0];
    const route& relaxed = table.routes()[1];
    const team* first = table.find_team("k1");
    const team* second = table.find_team("k2");
    CHECK(table.priority_level(urgent, service_id{"s"}, first) == 0);
    CHECK(table.priority_level(relaxed, service_id{"s"}, first) == 1);
    CHECK(table.priority_level(urgent, service_id{"s"}, second) == 2);
    CHECK(table.priority_level(relaxed, service_id{"s"}, second) == 3);
}
