#include "src/balancing/candidate_order.hpp"
#include "src/core/manual_clock.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::balancing;

struct candidate_order_fixture {
    manual_clock time;
    load_table loads;
    random_source random{5};
    std::vector<discovery::backend> servers;

    void add(const std::string& id, const std::string& domain = "a") {
        discovery::backend server;
        server.id = backend_id{id};
        server.domain = domain_id{domain};
        server.slots = 4;
        servers.push_back(server);
    }
    [[nodiscard]] candidate_list candidates() const {
        candidate_list all;
        for (const discovery::backend& row : servers) {
            all.push_back(&row);
        }
        return all;
    }
    [[nodiscard]] selection_context context() {
        return {loads, random, domain_id{"a"}, time.now()};
    }
    backend_load& load(const std::string& id) {
        return load_of(loads, backend_id{id}, incarnation{});
    }
    [[nodiscard]] std::string first(const candidate_list& sorted) const {
        return sorted.empty() ? "" : sorted.front()->id.str();
    }
};

} // namespace

TEST_CASE_FIXTURE(candidate_order_fixture,
                  "sort_plain_servers, one server is busier, less loaded one comes first") {
    add("x");
    add("y");
    load("x").running = 2;
    CHECK(first(sort_plain_servers(candidates(), context())) == "y");
}

TEST_CASE_FIXTURE(candidate_order_fixture,
                  "sort_plain_servers, equal load, own failure domain comes first") {
    add("far", "b");
    add("near", "a");
    for (int turn = 0; turn < 20; ++turn) {
        CHECK(first(sort_plain_servers(candidates(), context())) == "near");
    }
}

TEST_CASE_FIXTURE(candidate_order_fixture,
                  "sort_plain_servers, ejected server, comes last but is kept") {
    add("x");
    add("y");
    load("y").running = 3;
    load("x").ejected_until = time.now() + 1s;
    const auto sorted = sort_plain_servers(candidates(), context());
    CHECK(first(sorted) == "y");
    CHECK(sorted.size() == 2);
}

TEST_CASE_FIXTURE(
    candidate_order_fixture,
    "sort_decode_engines, engine has rejected a reservation, is omitted until full_until") {
    add("x");
    load("x").full_until = time.now() + 30ms;
    CHECK(sort_decode_engines(candidates(), context()).empty());
    time.advance(31ms);
    CHECK(sort_decode_engines(candidates(), context()).size() == 1);
}

TEST_CASE_FIXTURE(
    candidate_order_fixture,
    "sort_prefill_engines, idle slow engine and busy fast one, earlier completion comes first") {
    add("slow");
    add("fast");
    record_prefill(load("slow"), 300ms);
    record_prefill(load("fast"), 100ms);
    load("fast").prefills = 1;
    CHECK(first(sort_prefill_engines(candidates(), context())) == "fast");
}

TEST_CASE_FIXTURE(candidate_order_fixture,
                  "record_failure, two consecutive failures, server is ejected for the period") {
    add("x");
    const ejection_policy policy;
    CHECK_FALSE(record_failure(load("x"), policy, time.now()));
    CHECK(record_failure(load("x"), policy, time.now()));
    CHECK(load("x").ejected_until == time.now() + policy.period);
    record_success(load("x"));
    CHECK(load("x").ejected_until == time_point{});
}

TEST_CASE_FIXTURE(candidate_order_fixture,
                  "load_of, new incarnation of the server, entry is reset") {
    load("x").running = 3;
    CHECK(load_of(loads, backend_id{"x"}, incarnation{9}).running == 0);
}
