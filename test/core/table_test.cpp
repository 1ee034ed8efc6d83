#include "cicadahatch/core"

#include <doctest/doctest.h>

namespace {

struct numbered_row {
    std::uint64_t id = 0;
    int payload = 0;
};

struct table_fixture {
    cicadahatch::table<std::uint64_t, numbered_row> table;
    table_fixture() {
        for (std::uint64_t id = 1; id <= 5; ++id) {
            table.insert({id, static_cast<int>(id * 10)});
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(table_fixture, "table, row erased from the middle, others are still found") {
    CHECK(table.erase(2));
    CHECK(table.find(2) == nullptr);
    REQUIRE(table.find(5) != nullptr);
    CHECK(table.find(5)->payload == 50);
    CHECK(table.size() == 4);
}

TEST_CASE_FIXTURE(table_fixture, "table, erase_if on all odd rows, even rows remain") {
    table.erase_if([](const numbered_row& row) { return row.id % 2 == 1; });
    CHECK(table.size() == 2);
    CHECK(table.find(2)->payload == 20);
    CHECK(table.find(4)->payload == 40);
}

TEST_CASE_FIXTURE(table_fixture, "table, erase of an absent row, nothing changes") {
    CHECK_FALSE(table.erase(99));
    CHECK(table.size() == 5);
}
