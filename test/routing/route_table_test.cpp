#include "src/routing/route_table.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::routing;

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
    route made;
    made.name = name;
    made.host = host;
    made.path_prefix = prefix;
    made.services = {{service_id{"s"}, 1}};
    return made;
}

struct route_table_fixture {
    route_table table{
        {7,
         {make_route("short", "a.example", "/x/"), make_route("long", "a.example", "/x/y/"),
          make_route("other", "b.example", "/x/y/z/")},
         {},
         {}}};

    [[nodiscard]] std::string found(std::string_view host, std::string_view target) const {
        const route* of = table.find(host, target);
        return of == nullptr ? "" : of->name;
    }
};

} // namespace

TEST_CASE_FIXTURE(route_table_fixture, "find, two prefixes fit, longest one is chosen") {
    CHECK(found("a.example", "/x/y/1") == "long");
    CHECK(found("a.example", "/x/1") == "short");
}

TEST_CASE_FIXTURE(route_table_fixture, "find, longer prefix of another host, is not considered") {
    CHECK(found("a.example", "/x/y/z/1") == "long");
    CHECK(found("b.example", "/x/y/1").empty());
}

TEST_CASE_FIXTURE(route_table_fixture, "find, host with port or capitals, is the same host") {
    CHECK(found("A.Example:8080", "/x/1") == "short");
}

TEST_CASE_FIXTURE(route_table_fixture, "find, prefix only in the query, is no match") {
    CHECK(found("a.example", "/q?/x/").empty());
    CHECK(found("a.example", "/x/?p=/x/y/") == "short");
}

TEST_CASE_FIXTURE(route_table_fixture, "find, dot segments and escapes, path keeps its bytes") {
    CHECK(found("a.example", "/x/../x/y/").find("short") == 0);
    CHECK(found("a.example", "/%78/1").empty());
}

TEST_CASE("choose_service, weights 90 and 10, draws fall in proportion") {
    route of;
    of.services = {{service_id{"a"}, 90}, {service_id{"b"}, 10}};
    CHECK(choose_service(of, 0.0) == service_id{"a"});
    CHECK(choose_service(of, 0.899) == service_id{"a"});
    CHECK(choose_service(of, 0.901) == service_id{"b"});
    CHECK(choose_service(of, 0.999) == service_id{"b"});
}

TEST_CASE("choose_service, no service, is empty") {
    CHECK(choose_service({}, 0.5).empty());
}

TEST_CASE("level, priorities with gaps, their order counts alone") {
    const service_id model{"s"};
    std::vector<route> routes;
    for (const std::uint32_t priority : {5U, 2U, 5U, 40U}) {
        route made = make_route("r" + std::to_string(routes.size()), "a.example", "/x/");
        made.priority = priority;
        routes.push_back(made);
    }
    const route_table table{{1, routes, {}, {}}};
    CHECK(table.priority_level(routes[1], model) == 0);
    CHECK(table.priority_level(routes[0], model) == 1);
    CHECK(table.priority_level(routes[2], model) == 1);
    CHECK(table.priority_level(routes[3], model) == 2);
}

TEST_CASE("level, all routes of a service equal, all of them go first") {
    std::vector<route> routes{make_route("one", "a.example", "/x/"),
                              make_route("two", "a.example", "/y/")};
    routes[0].priority = 1;
    routes[1].priority = 1;
    const route_table table{{1, routes, {}, {}}};
    CHECK(table.priority_level(routes[0], service_id{"s"}) == 0);
    CHECK(table.priority_level(routes[1], service_id{"s"}) == 0);
}

TEST_CASE("level, other service has more urgent routes, they don't count") {
    std::vector<route> routes{make_route("one", "a.example", "/x/"),
                              make_route("two", "a.example", "/y/")};
    routes[0].priority = 3;
    routes[1].services = {{service_id{"other"}, 1}};
    const route_table table{{1, routes, {}, {}}};
    CHECK(table.priority_level(routes[0], service_id{"s"}) == 0);
}
