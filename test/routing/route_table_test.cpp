#include "src/routing/route_table.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::routing;

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
    route created;
    created.name = name;
    created.host = host;
    created.path_prefix = prefix;
    created.services = {{service_id{"s"}, 1}};
    return created;
}

struct route_table_fixture {
    route_table table{
        {7,
         {make_route("short", "a.example", "/x/"), make_route("long", "a.example", "/x/y/"),
          make_route("other", "b.example", "/x/y/z/")},
         {},
         {}}};

    [[nodiscard]] std::string found(std::string_view host, std::string_view target) const {
        const route* match = table.find(host, target);
        return match == nullptr ? "" : match->name;
    }
};

} // namespace

TEST_CASE_FIXTURE(route_table_fixture, "find, two prefixes match, longest one is chosen") {
    CHECK(found("a.example", "/x/y/1") == "long");
    CHECK(found("a.example", "/x/1") == "short");
}

TEST_CASE_FIXTURE(route_table_fixture, "find, longer prefix belongs to another host, is ignored") {
    CHECK(found("a.example", "/x/y/z/1") == "long");
    CHECK(found("b.example", "/x/y/1").empty());
}

TEST_CASE_FIXTURE(route_table_fixture,
                  "find, host with port or upper case, matches the same host") {
    CHECK(found("A.Example:8080", "/x/1") == "short");
}

TEST_CASE_FIXTURE(route_table_fixture, "find, prefix occurs only in the query, does not match") {
    CHECK(found("a.example", "/q?/x/").empty());
    CHECK(found("a.example", "/x/?p=/x/y/") == "short");
}

TEST_CASE_FIXTURE(route_table_fixture,
                  "find, dot segments and escapes, path is compared without normalization") {
    CHECK(found("a.example", "/x/../x/y/").find("short") == 0);
    CHECK(found("a.example", "/%78/1").empty());
}

TEST_CASE("choose_service, weights 90 and 10, draws are split in proportion") {
    route weighted;
    weighted.services = {{service_id{"a"}, 90}, {service_id{"b"}, 10}};
    CHECK(choose_service(weighted, 0.0) == service_id{"a"});
    CHECK(choose_service(weighted, 0.899) == service_id{"a"});
    CHECK(choose_service(weighted, 0.901) == service_id{"b"});
    CHECK(choose_service(weighted, 0.999) == service_id{"b"});
}

TEST_CASE("choose_service, route without services, returns the empty identifier") {
    CHECK(choose_service({}, 0.5).empty());
}

TEST_CASE("priority_level, priorities with gaps, only their order matters") {
    const service_id model{"s"};
    std::vector<route> routes;
    for (const std::uint32_t priority : {5U, 2U, 5U, 40U}) {
        route created = make_route("r" + std::to_string(routes.size()), "a.example", "/x/");
        created.priority = priority;
        routes.push_back(created);
    }
    const route_table table{{1, routes, {}, {}}};
    CHECK(table.priority_level(routes[1], model) == 0);
    CHECK(table.priority_level(routes[0], model) == 1);
    CHECK(table.priority_level(routes[2], model) == 1);
    CHECK(table.priority_level(routes[3], model) == 2);
}

TEST_CASE("priority_level, equal priorities, all routes have level 0") {
    std::vector<route> routes{make_route("one", "a.example", "/x/"),
                              make_route("two", "a.example", "/y/")};
    routes[0].priority = 1;
    routes[1].priority = 1;
    const route_table table{{1, routes, {}, {}}};
    CHECK(table.priority_level(routes[0], service_id{"s"}) == 0);
    CHECK(table.priority_level(routes[1], service_id{"s"}) == 0);
}

TEST_CASE("priority_level, more urgent routes of another service, are ignored") {
    std::vector<route> routes{make_route("one", "a.example", "/x/"),
                              make_route("two", "a.example", "/y/")};
    routes[0].priority = 3;
    routes[1].services = {{service_id{"other"}, 1}};
    const route_table table{{1, routes, {}, {}}};
    CHECK(table.priority_level(routes[0], service_id{"s"}) == 0);
}
