#include "src/core/manual_clock.hpp"
#include "src/discovery/configuration_age.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::discovery;

struct configuration_age_fixture {
    manual_clock time;
    configuration_age age;

    configuration_age_fixture() {
        time.advance(1h);
        age.max_age = 5000ms;
    }
};

} // namespace

TEST_CASE_FIXTURE(configuration_age_fixture, "is_outdated, nothing read yet, is outdated") {
    CHECK(is_outdated(age, time.now()));
}

TEST_CASE_FIXTURE(configuration_age_fixture, "is_outdated, no bound, is never outdated") {
    age.max_age.reset();
    CHECK_FALSE(is_outdated(age, time.now()));
}

TEST_CASE_FIXTURE(configuration_age_fixture,
                  "is_outdated, confirmation grows old, before the bound") {
    confirm(age, time.now());
    time.advance(4700ms);
    CHECK_FALSE(is_outdated(age, time.now()));
    time.advance(100ms);
    CHECK(is_outdated(age, time.now()));
}

TEST_CASE_FIXTURE(configuration_age_fixture,
                  "confirm, late news of an earlier time, changes nothing") {
    confirm(age, time.now());
    confirm(age, time.now() - 3s);
    CHECK(age.complete_as_of == time.now());
}
