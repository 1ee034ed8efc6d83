#include "src/balancing/candidate_order.hpp"
#include "src/core/manual_clock.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::balancing;

struct choice_fixture {
    manual_clock time;
    load_table loads;
    random_source random{5};
    std::vector<discovery::backend> servers;

    void add(const std::string& id, const std::string& domain = "a") {
        discovery::backend made;
        made.id = backend_id{id};
        made.domain = domain_id{domain};
        made.slots = 4;
        servers.push_back(made);
    }
    [[nodiscard]] candidate_list candidates() const {
        candidate_list all;
        for (const discovery::backend& row : servers) {
            all.push_back(&row);
        }
        return all;
    }
    [[nodiscard]] selection_context inputs() { return {loads, random, domain_id{"a"}, time.now()}; }
    backend_load& load(const std::string& id) {
        return load_of(loads, backend_id{id}, incarnation{});
    }
    [[nodiscard]] std::string first(const candidate_list& sorted) const {
        return sorted.empty() ? "" : sorted.front()->id.str();
    }
};

} // namespace

TEST_CASE_FIXTURE(choice_fixture, "sort_plain_servers, one server busier, the freer one is first") {
    add("x");
    add("y");
    load("x").running = 2;
    CHECK(first(sort_plain_servers(candidates(), inputs())) == "y");
}

TEST_CASE_FIXTURE(choice_fixture, "sort_plain_servers, equal load, own failure domain is first") {
    add("far", "b");
    add("near", "a");
    for (int turn = 0; turn < 20; ++turn) {
        CHECK(first(sort_plain_servers(candidates(), inputs())) == "near");
    }
}

TEST_CASE_FIXTURE(choice_fixture, "sort_plain_servers, ejected server, is last but not left out") {
    add("x");
    add("y");
    load("y").running = 3;
    load("x").ejected_until = time.now() + 1s;
    const auto sorted = sort_plain_servers(candidates(), inputs());
    CHECK(first(sorted) == "y");
    CHECK(sorted.size() == 2);
}

TEST_CASE_FIXTURE(choice_fixture,
                  "sort_decode_engines, engine has just refused, is left out for a while") {
    add("x");
    load("x").full_until = time.now() + 30ms;
    CHECK(sort_decode_engines(candidates(), inputs()).empty());
    time.advance(31ms);
    CHECK(sort_decode_engines(candidates(), inputs()).size() == 1);
}

TEST_CASE_FIXTURE(choice_fixture,
                  "sort_prefill_engines, slow engine idle and fast one busy, fast is first") {
    add("slow");
    add("fast");
    record_prefill(load("slow"), 300ms);
    record_prefill(load("fast"), 100ms);
    load("fast").prefills = 1;
    CHECK(first(sort_prefill_engines(candidates(), inputs())) == "fast");
}

TEST_CASE_FIXTURE(choice_fixture,
                  "record_failure, two in a row, ejected until the period has passed") {
    add("x");
    const ejection_policy rules;
    CHECK_FALSE(record_failure(load("x"), rules, time.now()));
    CHECK(record_failure(load("x"), rules, time.now()));
    CHECK(load("x").ejected_until == time.now() + rules.period);
    record_success(load("x"));
    CHECK(load("x").ejected_until == time_point{});
}

TEST_CASE_FIXTURE(choice_fixture, "load_of, another start of the same server, begins anew") {
    load("x").running = 3;
    CHECK(load_of(loads, backend_id{"x"}, incarnation{9}).running == 0);
}
