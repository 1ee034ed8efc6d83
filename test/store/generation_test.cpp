#include "src/store/generation.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using store::generation;
using store::make_revision;

} // namespace

TEST_CASE("make_revision, later generation with a smaller counter, is greater") {
    CHECK(make_revision(generation{2}, 7) > make_revision(generation{1}, 90'000));
    CHECK(make_revision(generation{1}, 1) > make_revision(generation{}, store::max_counter));
    CHECK(make_revision(generation{1}, 8) > make_revision(generation{1}, 7));
}

TEST_CASE("make_revision, any generation and counter, holds both") {
    for (const std::uint32_t number : {0U, 1U, 8191U, store::max_generation}) {
        for (const std::uint64_t counter : {std::uint64_t{1}, store::max_counter}) {
            const revision made = make_revision(generation{number}, counter);
            CHECK(store::generation_of(made) == generation{number});
            CHECK(store::counter_of(made) == counter);
        }
    }
}

TEST_CASE("make_revision, no generation, is the counter") {
    CHECK(make_revision(generation{}, 42) == revision{42});
}
