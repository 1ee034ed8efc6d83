#include "cicadahatch/core"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;

struct random_fixture {
    cicadahatch::random_source first{7};
    cicadahatch::random_source second{7};
};

} // namespace

TEST_CASE_FIXTURE(random_fixture, "random_source, equal seeds, equal sequences") {
    for (int draw = 0; draw < 100; ++draw) {
        CHECK(first.below(1000) == second.below(1000));
    }
}

TEST_CASE_FIXTURE(random_fixture, "random_source, jittered, stays between half and whole") {
    for (int draw = 0; draw < 1000; ++draw) {
        const cicadahatch::duration drawn = first.jittered(100ms);
        CHECK(drawn >= 50ms);
        CHECK(drawn <= 100ms);
    }
}

TEST_CASE("unique_token, drawn twice, differs") {
    CHECK(cicadahatch::unique_token() != cicadahatch::unique_token());
    CHECK(cicadahatch::unique_token().size() == 32);
}
