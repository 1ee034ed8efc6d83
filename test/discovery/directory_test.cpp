#include "src/core/manual_clock.hpp"
#include "src/discovery/directory.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::discovery;
using change_kind = directory_change::change_kind;

struct directory_fixture {
    manual_clock time;
    directory listed;
    std::vector<directory_change> changes;

    static backend server(const std::string& id, std::uint64_t started = 1) {
        backend made;
        made.id = backend_id{id};
        made.service = service_id{"s"};
        made.started = incarnation{started};
        return made;
    }
    void upsert(const backend& server) { listed.upsert(server, changes); }
    void remove(const std::string& id, duration kept) {
        listed.remove(backend_id{id}, time.now() + kept, time.now(), changes);
    }
    [[nodiscard]] std::size_t open() const {
        return listed.available_backends(service_id{"s"}).size();
    }
};

} // namespace

TEST_CASE_FIXTURE(directory_fixture, "upsert, draining server, takes no new work") {
    upsert(server("a"));
    CHECK(open() == 1);
    backend draining = server("a");
    draining.is_draining = true;
    upsert(draining);
    CHECK(open() == 0);
    CHECK(changes.back().kind == change_kind::draining);
}

TEST_CASE_FIXTURE(directory_fixture, "upsert, same id with another start, is a restart") {
    upsert(server("a", 1));
    upsert(server("a", 2));
    CHECK(changes.back().kind == change_kind::restarted);
    CHECK(listed.find(backend_id{"a"})->started == incarnation{2});
}

TEST_CASE_FIXTURE(directory_fixture, "upsert, entry unchanged, is no change") {
    upsert(server("a"));
    upsert(server("a"));
    CHECK(changes.size() == 1);
}

TEST_CASE_FIXTURE(directory_fixture, "remove, in a calm store, server is gone at once") {
    upsert(server("a"));
    remove("a", 0ms);
    CHECK(open() == 0);
    CHECK(changes.back().kind == change_kind::gone);
}

TEST_CASE_FIXTURE(directory_fixture, "remove, after an outage, server stays until its time") {
    upsert(server("a"));
    remove("a", 2s);
    CHECK(open() == 1);
    time.advance(1900ms);
    listed.expire(time.now(), changes);
    CHECK(open() == 1);
    time.advance(200ms);
    listed.expire(time.now(), changes);
    CHECK(open() == 0);
}

TEST_CASE_FIXTURE(directory_fixture, "upsert, entry comes back after an outage, server stays") {
    upsert(server("a"));
    remove("a", 2s);
    upsert(server("a"));
    time.advance(5s);
    listed.expire(time.now(), changes);
    CHECK(open() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "server says that it leaves, entry says ready, takes no work") {
    upsert(server("a", 1));
    CHECK(listed.mark_leaving(backend_id{"a"}, incarnation{1}, changes));
    CHECK(changes.back().kind == change_kind::draining);
    CHECK_FALSE(listed.mark_leaving(backend_id{"a"}, incarnation{1}, changes));
    upsert(server("a", 1));
    CHECK(open() == 0);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "server that has said it leaves, entry returns, takes no work") {
    upsert(server("a", 1));
    listed.mark_leaving(backend_id{"a"}, incarnation{1}, changes);
    remove("a", 0s);
    upsert(server("a", 1));
    CHECK(open() == 0);
}

TEST_CASE_FIXTURE(directory_fixture, "server that has said it leaves, starts anew, takes work") {
    upsert(server("a", 1));
    listed.mark_leaving(backend_id{"a"}, incarnation{1}, changes);
    upsert(server("a", 2));
    CHECK(open() == 1);
    // An answer of the former process comes late.
    listed.mark_leaving(backend_id{"a"}, incarnation{1}, changes);
    CHECK(open() == 1);
}

TEST_CASE_FIXTURE(directory_fixture, "server that has said it leaves, late answer of its former "
                                     "process, takes no work") {
    upsert(server("a", 2));
    listed.mark_leaving(backend_id{"a"}, incarnation{2}, changes);
    CHECK_FALSE(listed.mark_leaving(backend_id{"a"}, incarnation{1}, changes));
    upsert(server("a", 2));
    CHECK(open() == 0);
}
