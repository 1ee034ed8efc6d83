#include "src/core/manual_clock.hpp"
#include "src/usage/credit.hpp"
#include "src/usage/units.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::usage;

struct credit_fixture {
    manual_clock time;
    credit prepaid;

    credit_fixture() { time.advance(1h); }
};

} // namespace

TEST_CASE_FIXTURE(credit_fixture, "spend, enough units, takes them once") {
    add(prepaid, 400, time.now());
    CHECK(spend(prepaid, 200, time.now()));
    CHECK(spend(prepaid, 200, time.now()));
    CHECK_FALSE(spend(prepaid, 200, time.now()));
}

TEST_CASE_FIXTURE(credit_fixture, "take_expired, lifetime over, unused units are returned once") {
    add(prepaid, 400, time.now());
    CHECK(take_expired(prepaid, time.now()) == 0);
    time.advance(credit_lifetime);
    CHECK_FALSE(spend(prepaid, 200, time.now()));
    CHECK(take_expired(prepaid, time.now()) == 400);
    CHECK(take_expired(prepaid, time.now()) == 0);
}

TEST_CASE_FIXTURE(credit_fixture, "prepayment, steady use, asks for the use of the last period") {
    CHECK(prepayment(prepaid, time.now()) == 0);
    for (int request = 0; request < 8; ++request) {
        record_use(prepaid, 200, time.now());
        time.advance(500ms);
    }
    CHECK(prepayment(prepaid, time.now()) == 800);
}

TEST_CASE_FIXTURE(credit_fixture, "prepayment, use has ended, asks for nothing") {
    record_use(prepaid, 200, time.now());
    time.advance(2 * credit_lifetime);
    CHECK(prepayment(prepaid, time.now()) == 0);
}

TEST_CASE("units_of, cap in tokens, counts both token numbers or the plain tokens") {
    const routing::usage_cap cap{29'000, 29'000, true, 200};
    CHECK(units_of(cap, {true, 5'200, 9'300}) == 14'500);
    CHECK(units_of(cap, {false, 0, 0}) == 200);
    CHECK(units_of(cap, {true, UINT32_MAX, UINT32_MAX}) == 2 * std::uint64_t{UINT32_MAX});
}

TEST_CASE("units_of, cap in requests, counts one") {
    CHECK(units_of({10, 10, false, 200}, {true, 5'200, 9'300}) == 1);
}
