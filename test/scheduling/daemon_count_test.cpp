#include "cicadahatch/core"
#include "src/scheduling/daemon_count.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::scheduling;

struct daemon_count_fixture {
    manual_clock time;
    daemon_count count;

    void record(std::size_t registered) { record_daemons(count, registered, time.now()); }
    void pass(duration elapsed) {
        time.advance(elapsed);
        update_daemon_count(count, time.now());
    }
};

} // namespace

TEST_CASE_FIXTURE(daemon_count_fixture, "daemon count, daemons register, grows at once") {
    record(0);
    CHECK(count.value == 1);
    record(7);
    CHECK(count.value == 7);
}

TEST_CASE_FIXTURE(daemon_count_fixture,
                  "daemon count, registrations expire and return, never shrinks") {
    record(7);
    for (const std::size_t registered : {0U, 1U, 4U, 7U}) {
        record(registered);
        pass(2s);
        CHECK(count.value == 7);
    }
    pass(1min);
    CHECK(count.value == 7);
}

TEST_CASE_FIXTURE(daemon_count_fixture, "daemon count, daemons are gone for good, shrinks later") {
    record(7);
    record(5);
    pass(daemon_loss_delay - 1ms);
    CHECK(count.value == 7);
    record(4);
    pass(1ms);
    CHECK(count.value == 4);
    record(0);
    pass(daemon_loss_delay);
    CHECK(count.value == 1);
}
