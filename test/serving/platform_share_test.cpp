#include "src/core/manual_clock.hpp"
#include "src/serving/platform_share.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

struct share_fixture {
    manual_clock time;
    serving::platform_share share{time.now(), 1};

    double writes_with(std::size_t live) {
        return serving::budget_of(share, live, time.now()).writes_per_second;
    }
};

} // namespace

TEST_CASE_FIXTURE(share_fixture, "platform share, daemon just started, that of a full-size fleet") {
    const double started = writes_with(1);
    CHECK(started * 410 < 300);
    CHECK(writes_with(7) == started);
}

TEST_CASE_FIXTURE(share_fixture, "platform share, small fleet known, a part of its own size") {
    time.advance(10s);
    CHECK(writes_with(7) * 7 < 300);
    CHECK(writes_with(7) * 8 > 200);
}

TEST_CASE_FIXTURE(share_fixture, "platform share, others cut off, does not grow") {
    time.advance(10s);
    const double whole = writes_with(410);
    CHECK(writes_with(70) == whole);
}
