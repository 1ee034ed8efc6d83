#include "src/core/manual_clock.hpp"
#include "src/discovery/directory.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::discovery;
using change_kind = directory_change::change_kind;

/// Time after a restore in which entries of processes that have ended lapse.
constexpr auto hold = 3s;

struct directory_fixture {
    manual_clock time;
    discovery::directory directory;
    std::vector<directory_change> changes;

    static backend registration(const std::string& id, std::uint64_t started = 1) {
        backend registered;
        registered.id = backend_id{id};
        registered.service = service_id{"s"};
        registered.started = incarnation{started};
        return registered;
    }
    void upsert(const backend& registered) { directory.upsert(registered, changes); }
    void remove(const std::string& id, duration grace_period) {
        directory.remove(backend_id{id}, time.now() + grace_period, time.now(), changes);
    }
    /// Adds the entries of an older copy of the store.
    void restore(const std::vector<backend>& copied) {
        directory.begin_restore(changes);
        for (const backend& registered : copied) {
            directory.upsert_restored(registered, time.now() + hold, changes);
        }
    }
    [[nodiscard]] std::size_t available() const {
        return directory.available_backends(service_id{"s"}).size();
    }
};

} // namespace

TEST_CASE_FIXTURE(directory_fixture, "upsert, backend server drains, is no longer available") {
    upsert(registration("a"));
    CHECK(available() == 1);
    backend draining = registration("a");
    draining.is_draining = true;
    upsert(draining);
    CHECK(available() == 0);
    CHECK(changes.back().kind == change_kind::draining);
}

TEST_CASE_FIXTURE(directory_fixture, "upsert, same id with a different start, reports a restart") {
    upsert(registration("a", 1));
    upsert(registration("a", 2));
    CHECK(changes.back().kind == change_kind::restarted);
    CHECK(directory.find(backend_id{"a"})->started == incarnation{2});
}

TEST_CASE_FIXTURE(directory_fixture, "upsert, unchanged entry, reports no change") {
    upsert(registration("a"));
    upsert(registration("a"));
    CHECK(changes.size() == 1);
}

TEST_CASE_FIXTURE(directory_fixture, "remove, without a grace period, removes immediately") {
    upsert(registration("a"));
    remove("a", 0ms);
    CHECK(available() == 0);
    CHECK(changes.back().kind == change_kind::gone);
}

TEST_CASE_FIXTURE(directory_fixture, "remove, with a grace period, removes when it ends") {
    upsert(registration("a"));
    remove("a", 2s);
    CHECK(available() == 1);
    time.advance(1900ms);
    directory.expire(time.now(), changes);
    CHECK(available() == 1);
    time.advance(200ms);
    directory.expire(time.now(), changes);
    CHECK(available() == 0);
}

TEST_CASE_FIXTURE(directory_fixture, "upsert, entry reappears in the grace period, is kept") {
    upsert(registration("a"));
    remove("a", 2s);
    upsert(registration("a"));
    time.advance(5s);
    directory.expire(time.now(), changes);
    CHECK(available() == 1);
}

TEST_CASE_FIXTURE(directory_fixture, "mark_leaving, entry still says ready, is unavailable") {
    upsert(registration("a", 1));
    CHECK(directory.mark_leaving(backend_id{"a"}, incarnation{1}, changes));
    CHECK(changes.back().kind == change_kind::draining);
    CHECK_FALSE(directory.mark_leaving(backend_id{"a"}, incarnation{1}, changes));
    upsert(registration("a", 1));
    CHECK(available() == 0);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "mark_leaving, entry is removed and reappears, is unavailable") {
    upsert(registration("a", 1));
    directory.mark_leaving(backend_id{"a"}, incarnation{1}, changes);
    remove("a", 0s);
    upsert(registration("a", 1));
    CHECK(available() == 0);
}

TEST_CASE_FIXTURE(directory_fixture, "mark_leaving, process restarts, is available") {
    upsert(registration("a", 1));
    directory.mark_leaving(backend_id{"a"}, incarnation{1}, changes);
    upsert(registration("a", 2));
    CHECK(available() == 1);
    // A late response of the previous process.
    directory.mark_leaving(backend_id{"a"}, incarnation{1}, changes);
    CHECK(available() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "mark_leaving, late announcement of a previous process, is ignored") {
    upsert(registration("a", 2));
    directory.mark_leaving(backend_id{"a"}, incarnation{2}, changes);
    CHECK_FALSE(directory.mark_leaving(backend_id{"a"}, incarnation{1}, changes));
    upsert(registration("a", 2));
    CHECK(available() == 0);
}

// Guards against new requests to a process that an older copy of the store shows as serving.
TEST_CASE_FIXTURE(directory_fixture, "upsert_restored, process known to drain, keeps draining") {
    backend draining = registration("a");
    draining.is_draining = true;
    upsert(draining);
    restore({registration("a")});
    CHECK(available() == 0);
    upsert(registration("a"));
    CHECK(available() == 0);
    upsert(registration("a", 2));
    CHECK(available() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "upsert_restored, process whose entry had been removed, is held until its entry "
                  "would have lapsed") {
    upsert(registration("a"));
    remove("a", 0s);
    restore({registration("a")});
    CHECK(available() == 0);
    time.advance(hold - 1ms);
    directory.expire(time.now(), changes);
    CHECK(available() == 0);
    time.advance(1ms);
    directory.expire(time.now(), changes);
    CHECK(available() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "upsert_restored, twice for a process whose entry had been removed, holds it") {
    upsert(registration("a"));
    remove("a", 0s);
    restore({registration("a")});
    remove("a", 0s);
    restore({registration("a")});
    CHECK(available() == 0);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "upsert, entry held after a restore is written again, is used") {
    upsert(registration("a"));
    remove("a", 0s);
    restore({registration("a")});
    upsert(registration("a"));
    CHECK(available() == 1);
}

TEST_CASE_FIXTURE(directory_fixture, "upsert_restored, later process under the same id, is used") {
    upsert(registration("a", 1));
    remove("a", 0s);
    restore({registration("a", 2)});
    CHECK(available() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "upsert_restored, earlier process than the known, is ignored") {
    upsert(registration("a", 2));
    restore({registration("a", 1)});
    CHECK(directory.find(backend_id{"a"})->started == incarnation{2});
    CHECK(available() == 1);
}

TEST_CASE_FIXTURE(directory_fixture,
                  "upsert_restored, entry removed long before the restore, is used") {
    upsert(registration("a"));
    remove("a", 0s);
    time.advance(61s);
    directory.expire(time.now(), changes);
    restore({registration("a")});
    CHECK(available() == 1);
}
