#include "src/forwarding/stall.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using forwarding::is_check_due;
using forwarding::record_check;
using forwarding::stall;

constexpr std::chrono::milliseconds gap = 300ms;
const time_point start{100s};

struct stall_fixture {
    stall watched;

    stall_fixture() { forwarding::record_event(watched, start, gap); }
};

} // namespace

TEST_CASE_FIXTURE(stall_fixture, "stall, pauses within twice the gap objective, no check is due") {
    CHECK_FALSE(is_check_due(watched, start + 2 * gap));
    forwarding::record_event(watched, start + 2 * gap, gap);
    CHECK_FALSE(is_check_due(watched, start + 4 * gap));
}

TEST_CASE_FIXTURE(stall_fixture, "stall, engine responds to every check, is never unreachable") {
    time_point now = start;
    for (int checks = 0; checks < 50; ++checks) {
        now = watched.next_check_at;
        CHECK(is_check_due(watched, now));
        CHECK_FALSE(record_check(watched, true, now, gap));
    }
    CHECK(now - start > 10s);
}

TEST_CASE_FIXTURE(stall_fixture, "stall, a single check without a response, keeps the engine") {
    CHECK_FALSE(record_check(watched, false, watched.next_check_at, gap));
    CHECK_FALSE(record_check(watched, true, watched.next_check_at, gap));
    CHECK_FALSE(record_check(watched, false, watched.next_check_at, gap));
    forwarding::record_event(watched, watched.next_check_at, gap);
    CHECK_FALSE(record_check(watched, false, watched.next_check_at, gap));
}

TEST_CASE_FIXTURE(stall_fixture, "stall, two checks in a row without a response, is unreachable "
                                 "before the caller abandons the stream") {
    CHECK_FALSE(record_check(watched, false, watched.next_check_at, gap));
    CHECK(record_check(watched, false, watched.next_check_at, gap));
    CHECK(watched.next_check_at - start < 8 * gap);
}
