#include "cicadahatch/core"
#include "src/http/internal/connection_watch.hpp"

#include <doctest/doctest.h>
#include <map>

namespace {

using namespace cicadahatch;
using namespace std::chrono_literals;
using http::internal::connection_phase;

struct watch_fixture {
    manual_clock time;
    http::internal::connection_table connections;
    std::map<int, const mg_connection*> named;
    http::internal::connection_limits limits{1000ms, 4, 1};

    /// The table's keys are only compared, so any distinct addresses will do.
    void add(int name, connection_phase phase, std::chrono::milliseconds waited) {
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): never dereferenced
        named[name] = reinterpret_cast<const mg_connection*>(&named[name]);
        connections[named[name]] = {{}, phase, time.now() - waited, false};
    }
    void look() {
        http::internal::interrupt_waiting(connections, limits, time.now(), [](pthread_t) {});
    }
    bool is_ended(int name) { return connections[named[name]].is_interrupted; }
};

} // namespace

TEST_CASE_FIXTURE(watch_fixture, "interrupt_waiting, free workers left, only late bodies") {
    add(1, connection_phase::body, 1000ms);
    add(2, connection_phase::body, 999ms);
    add(3, connection_phase::head, 5000ms);
    look();
    CHECK(is_ended(1));
    CHECK_FALSE(is_ended(2));
    CHECK_FALSE(is_ended(3));
}

TEST_CASE_FIXTURE(watch_fixture, "interrupt_waiting, too few workers free, longest waiting first") {
    add(1, connection_phase::running, 9000ms);
    add(2, connection_phase::head, 300ms);
    add(3, connection_phase::body, 400ms);
    add(4, connection_phase::head, 10ms);
    look();
    CHECK_FALSE(is_ended(1));
    CHECK_FALSE(is_ended(2));
    CHECK(is_ended(3));
    CHECK_FALSE(is_ended(4));
}

TEST_CASE_FIXTURE(watch_fixture, "interrupt_waiting, new or running connections, never") {
    for (int name = 1; name <= 3; ++name) {
        add(name, connection_phase::running, 9000ms);
    }
    add(4, connection_phase::head, 10ms);
    look();
    CHECK_FALSE(is_ended(4));
    CHECK_FALSE(is_ended(1));
}
