#include "cicadahatch/core"
#include "cicadahatch/scheduling"
#include "src/serving/internal/cache_ingest.hpp"
#include "test/support/scheduling_cell.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;

/// A cell of one prefill and one decode engine, and what the directory knows of the former.
struct cache_ingest_fixture {
    manual_clock time;
    scheduling::cell_policy policy;
    scheduling::cell_state state = test_support::small_cell(time.now(), 1, 1);
    serving::backend_row server;

    cache_ingest_fixture() { server.id = state.engines.rows().front().id; }

    void tell(std::uint64_t sequence, std::vector<std::uint64_t> hashes) {
        server.load.cache_sequence = sequence;
        server.cache = std::make_shared<const engines::cached_prefix_set>(
            engines::cached_prefix_set{sequence, std::move(hashes)});
        ingest();
    }
    void ingest() { serving::internal::ingest_cache(state, policy, server); }
    [[nodiscard]] const scheduling::engine& view() const { return *state.engines.find(server.id); }
};

} // namespace

TEST_CASE_FIXTURE(cache_ingest_fixture, "cache content, told, replaces the view") {
    tell(2, {11, 12});
    CHECK(view().cached == std::unordered_set<std::uint64_t>{11, 12});
    tell(3, {13});
    CHECK(view().cached == std::unordered_set<std::uint64_t>{13});
    CHECK(view().next_cache_sequence == 3);
}

TEST_CASE_FIXTURE(cache_ingest_fixture,
                  "cache content, older than the load report, view is dropped until the next") {
    tell(2, {11, 12});
    server.load.cache_sequence = 4;
    ingest();
    CHECK(view().cached.empty());
    CHECK_FALSE(view().has_cache_view);
    tell(5, {12});
    CHECK(view().has_cache_view);
    CHECK(view().cached == std::unordered_set<std::uint64_t>{12});
}

TEST_CASE_FIXTURE(cache_ingest_fixture, "cache content, never told, view of own grants stays") {
    server.load.cache_sequence = 4;
    ingest();
    CHECK(view().has_cache_view);
}
