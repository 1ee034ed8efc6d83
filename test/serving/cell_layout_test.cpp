#include "src/serving/cell_layout.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

namespace {

using namespace cicadahatch;
using serving::backend_row;
using serving::cell_plan;

constexpr std::size_t max_engines = 8;

struct layout_fixture {
    std::vector<backend_row> backends;

    void add(const std::string& name, backend_role role, const std::string& domain = "a",
             const std::string& model = "pattern") {
        backend_row row;
        row.id = backend_id{name};
        row.role = role;
        row.domain = domain_id{domain};
        row.model = model_id{model};
        backends.push_back(row);
    }

    void add_many(int prefill, int decode, const std::string& domain = "a") {
        for (int number = 0; number < prefill; ++number) {
            add(domain + "-p" + std::to_string(number), backend_role::prefill, domain);
        }
        for (int number = 0; number < decode; ++number) {
            add(domain + "-d" + std::to_string(number), backend_role::decode, domain);
        }
    }

    std::vector<cell_plan> cells() const { return serving::lay_out_cells(backends, max_engines); }
};

long count(const cell_plan& cell, backend_role role) {
    return std::count_if(cell.engines.begin(), cell.engines.end(),
                         [&](const backend_row& engine) { return engine.role == role; });
}

std::vector<std::string> names_of(const cell_plan& cell) {
    std::vector<std::string> names;
    for (const backend_row& engine : cell.engines) {
        names.push_back(engine.id.str());
    }
    return names;
}

} // namespace

TEST_CASE_FIXTURE(layout_fixture, "cells, few engines, are one with all of them") {
    add_many(3, 5);
    REQUIRE(cells().size() == 1);
    CHECK(cells().front().engines.size() == 8);
    CHECK(cells().front().model == model_id{"pattern"});
}

TEST_CASE_FIXTURE(layout_fixture, "cells, many engines, each engine is in one and none too large") {
    add_many(20, 31);
    std::set<std::string> seen;
    std::size_t total = 0;
    for (const cell_plan& cell : cells()) {
        CHECK(cell.engines.size() <= max_engines);
        CHECK(count(cell, backend_role::prefill) > 0);
        CHECK(count(cell, backend_role::decode) > 0);
        total += cell.engines.size();
        for (const std::string& name : names_of(cell)) {
            seen.insert(name);
        }
    }
    CHECK(total == 51);
    CHECK(seen.size() == 51);
}

TEST_CASE_FIXTURE(layout_fixture, "cells, engines listed in another order, are the same") {
    add_many(9, 12);
    const auto first = cells();
    std::reverse(backends.begin(), backends.end());
    const auto second = cells();
    REQUIRE(first.size() == second.size());
    for (std::size_t index = 0; index < first.size(); ++index) {
        CHECK(first[index].id == second[index].id);
        CHECK(names_of(first[index]) == names_of(second[index]));
    }
}

TEST_CASE_FIXTURE(layout_fixture, "cells, several domains and models, are never mixed") {
    add_many(2, 2, "a");
    add_many(2, 2, "b");
    add("x-p", backend_role::prefill, "a", "other");
    add("x-d", backend_role::decode, "a", "other");
    const auto laid_out = cells();
    CHECK(laid_out.size() == 3);
    for (const cell_plan& cell : laid_out) {
        for (const backend_row& engine : cell.engines) {
            CHECK(engine.domain == cell.domain);
            CHECK(engine.model == cell.model);
        }
    }
}

TEST_CASE_FIXTURE(layout_fixture, "cells, plain servers, are in none") {
    add("portal", backend_role::plain);
    CHECK(cells().empty());
}
