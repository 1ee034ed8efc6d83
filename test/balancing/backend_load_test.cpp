#include "cicadahatch/core"
#include "src/balancing/backend_load.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::balancing;

struct backend_load_fixture {
    manual_clock time;
    random_source random{1};
    backend_load load;

    bool state_limit(double requests_per_second) {
        return balancing::state_limit(load, requests_per_second, 1, random, time.now());
    }
};

} // namespace

TEST_CASE_FIXTURE(backend_load_fixture,
                  "request limit, response without it to an earlier request, stays in force") {
    const time_point sent_before = time.now();
    time.advance(10ms);
    CHECK(state_limit(6));
    time.advance(10ms);
    CHECK_FALSE(lift_limit(load, sent_before));
    CHECK(load.limit);
}

TEST_CASE_FIXTURE(backend_load_fixture,
                  "request limit, response without it to a later request, is lifted") {
    state_limit(6);
    time.advance(10ms);
    const time_point sent_after = time.now();
    time.advance(10ms);
    CHECK(lift_limit(load, sent_after));
    CHECK_FALSE(load.limit);
    CHECK_FALSE(lift_limit(load, sent_after));
}

TEST_CASE_FIXTURE(backend_load_fixture,
                  "request limit, stated again, is a change only if it differs") {
    CHECK(state_limit(6));
    CHECK_FALSE(state_limit(6));
    CHECK(state_limit(5.5));
}
