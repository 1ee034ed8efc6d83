#include "platform/kv_store.hpp"
#include "src/store/error.hpp"
#include "src/store/generation.hpp"
#include "test/support/platform_stub.hpp"
#include "test/support/raw_server.hpp"

#include <doctest/doctest.h>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using store::errc;
using test_support::store_mode;

struct kv_store_fixture {
    test_support::platform_stub stub;
    platform::kv_store store{stub.store(), 200ms};
};

/// \returns the error, or none
template <class Value>
std::error_code error_of(const result<Value>& outcome) {
    return outcome ? std::error_code{} : outcome.error();
}

/// A store that answers with any bytes.
struct broken_store_fixture {
    test_support::raw_answer answer;
    test_support::raw_server server{[this](const std::string&) { return answer; }};
    platform::kv_store store{server.place(), 2s};

    [[nodiscard]] std::error_code list_error() { return error_of(store.list("")); }
    [[nodiscard]] std::error_code swap_error(std::size_t value_bytes) {
        return error_of(store.swap("a/1", {}, std::string(value_bytes, 'v'), {}));
    }
};

/// A store whose replies arrive at a steady rate.
struct slow_reply_fixture {
    static constexpr auto timeout = 200ms;
    static constexpr std::size_t body_bytes = 400'000;
    static constexpr std::size_t value_bytes = body_bytes / 4 * 3; ///< as base64: body_bytes

    test_support::platform_stub stub;
    platform::kv_store store{stub.severable_store(), timeout};

    slow_reply_fixture() { stub.put("a/1", std::string(value_bytes, 'v')); }
    /// Sets the time that a reply with the value takes.
    void arrive_within(std::chrono::milliseconds time) {
        stub.set_severable_rate(body_bytes * 1000 / static_cast<std::size_t>(time.count()));
    }
    /// Sets a rate at which the pauses within a reply are longer than the timeout.
    void pause_within_body() { stub.set_severable_rate(8192); }
    [[nodiscard]] std::error_code list_error() { return error_of(store.list("")); }
};

/// A store that keeps a copy of its data after the first write.
struct restored_store_fixture : kv_store_fixture {
    restored_store_fixture() {
        stub.put("a/1", "x");
        stub.copy_store();
    }
    /// Climbs to the given revision by writes of others.
    void write_until(revision reached) {
        const revision start = platform::kv_store{stub.store(), 200ms}.list("").value().at;
        for (auto counter = store::counter_of(start); counter < store::counter_of(reached);
             ++counter) {
            stub.put("other", std::to_string(counter));
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(kv_store_fixture, "swap, key absent as expected, writes the key") {
    const auto outcome = store.swap("a/1", {}, std::string{"x\0y", 3}, {});
    REQUIRE(outcome);
    CHECK(outcome->is_swapped);
    const auto listed = store.list("a/");
    REQUIRE(listed);
    REQUIRE(listed->entries.size() == 1);
    CHECK(listed->entries[0].value == std::string{"x\0y", 3});
}

TEST_CASE_FIXTURE(kv_store_fixture,
                  "swap, key modified concurrently, fails with the current entry") {
    stub.put("a/1", "other");
    const auto outcome = store.swap("a/1", {}, "mine", {});
    REQUIRE(outcome);
    CHECK_FALSE(outcome->is_swapped);
    REQUIRE(outcome->current);
    CHECK(outcome->current->value == "other");
    CHECK(store.swap("a/1", outcome->current->modified, "mine", {})->is_swapped);
}

TEST_CASE_FIXTURE(kv_store_fixture, "watch, changes since a listing, returns them in order") {
    const auto listed = store.list("");
    REQUIRE(listed);
    stub.put("a/1", "x");
    stub.put("a/2", "y");
    const auto batch = store.watch("", revision{listed->at.value() + 1}, 500ms);
    REQUIRE(batch);
    REQUIRE(batch->changes.size() == 2);
    CHECK(batch->changes[0].changed.key == "a/1");
    CHECK(store.watch("", batch->next, 10ms)->changes.empty());
}

TEST_CASE_FIXTURE(kv_store_fixture, "watch, history compacted, returns compacted") {
    stub.set_store_mode(store_mode::compacted);
    CHECK(store.watch("", revision{2}, 10ms).error() == errc::compacted);
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, store refuses, are not applied") {
    stub.set_store_mode(store_mode::busy);
    CHECK(store.list("").error() == errc::unavailable);
    CHECK(store.swap("a/1", {}, "x", {}).error() == errc::unavailable);
    CHECK(store::is_surely_not_applied(store.swap("a/1", {}, "x", {}).error()));
}

TEST_CASE_FIXTURE(kv_store_fixture, "swap, reply lost, returns outcome_unknown") {
    stub.set_store_mode(store_mode::lost_reply);
    CHECK(store.swap("a/1", {}, "x", {}).error() == errc::outcome_unknown);
    stub.set_store_mode(store_mode::normal);
    CHECK(store.list("a/")->entries.size() == 1);
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, store does not reply, time out") {
    stub.set_store_mode(store_mode::unresponsive);
    CHECK(store.list("").error() == errc::unavailable);
    CHECK(store.swap("a/1", {}, "x", {}).error() == errc::outcome_unknown);
    stub.set_store_mode(store_mode::normal);
    CHECK(store.list(""));
}

TEST_CASE("swap, connection refused, returns unavailable") {
    platform::kv_store store{{"127.0.0.1", 1}, 200ms};
    CHECK(store.swap("a/1", {}, "x", {}).error() == errc::unavailable);
}

TEST_CASE_FIXTURE(kv_store_fixture, "revoke_lease, lease with a key, removes the key") {
    const auto lease = store.grant_lease(15s);
    REQUIRE(lease);
    REQUIRE(store.swap("a/1", {}, "x", *lease)->is_swapped);
    CHECK(store.keep_alive(*lease).value() == 15s);
    REQUIRE(store.revoke_lease(*lease));
    CHECK(store.list("a/")->entries.empty());
}

TEST_CASE_FIXTURE(kv_store_fixture, "revoke_lease, store busy at first, can be tried again") {
    const auto lease = store.grant_lease(15s);
    REQUIRE(lease);
    REQUIRE(store.swap("a/1", {}, "x", *lease)->is_swapped);
    stub.set_store_mode(store_mode::busy);
    CHECK(error_of(store.revoke_lease(*lease)) == errc::unavailable);
    stub.set_store_mode(store_mode::normal);
    REQUIRE(store.revoke_lease(*lease));
    CHECK(store.list("a/")->entries.empty());
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, endless reply, fail before the reply exhausts memory") {
    constexpr auto timeout = 30s;
    platform::kv_store patient{stub.store(), timeout};
    stub.set_store_mode(store_mode::endless_reply);
    const auto begun = std::chrono::steady_clock::now();
    CHECK(patient.list("").error() == errc::unavailable);
    CHECK(std::chrono::steady_clock::now() - begun < timeout / 2);
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, interim response before each reply, get their own") {
    stub.set_store_mode(store_mode::interim_reply);
    for (const std::string key : {"a/1", "a/2", "a/3"}) {
        const auto outcome = store.swap(key, {}, "x", {});
        REQUIRE(outcome);
        CHECK(outcome->is_swapped);
    }
    const auto listed = store.list("a/");
    REQUIRE(listed);
    CHECK(listed->entries.size() == 3);
}

TEST_CASE_FIXTURE(broken_store_fixture,
                  "calls, reply with a malformed head, fail and a write's outcome is unknown") {
    const std::string body = R"({"items":[],"storeRevision":7,"revision":7})";
    const std::string length =
        "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    answer.bytes = "HTTP/1.1 200 OK\r\n" + length + "\r\n" + body;
    REQUIRE_FALSE(list_error());
    REQUIRE_FALSE(swap_error(1));
    for (const char* head :
         {"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 200 OK\r\nX A: v\r\n",
          "HTTP/1.1 200 OK\r\nX\x01: v\r\n", "HTTP/1.1 200 OK\r\nX : v\r\n",
          "HTTP/1.1 200 OK\r\n X: v\r\n", "HTTP/1.1 200 OK\r\nX: v\r\n Store-Era: 2\r\n",
          "HTTP/1.1 102 Processing\r\nX: v\r\n Y: v\r\n\r\nHTTP/1.1 200 OK\r\n"}) {
        INFO(std::string{head});
        answer.bytes = test_support::join({head, length, "\r\n", body});
        CHECK(list_error() == errc::unavailable);
        CHECK(swap_error(1) == errc::outcome_unknown);
    }
}

TEST_CASE_FIXTURE(broken_store_fixture,
                  "calls, reply is reset before its end, fail and a write's outcome is unknown") {
    using ending = test_support::raw_answer::ending;
    const std::string body = R"({"items":[],"storeRevision":7,"revision":7})";
    for (const bool is_early : {false, true}) {
        answer = {"HTTP/1.1 200 OK\r\n\r\n" + body, ending::reset, is_early, 0ms, 60ms};
        CHECK(list_error() == errc::unavailable);
        CHECK(swap_error(1'000'000) == errc::outcome_unknown);
    }
    answer = {"HTTP/1.1 200 OK\r\n\r\n" + body};
    CHECK_FALSE(list_error());
    CHECK_FALSE(swap_error(1'000'000));
}

// Guards against a log that does not tell a store that is away from a reply that is too long.
TEST_CASE_FIXTURE(slow_reply_fixture,
                  "list, reply still arriving at its bound, is told from none") {
    arrive_within(3s);
    CHECK(list_error() == errc::reply_too_large);
    pause_within_body();
    CHECK(list_error() == errc::unavailable);
}

// Guards against a daemon that never gets ready since the first listing takes longer than the
// timeout.
TEST_CASE_FIXTURE(slow_reply_fixture, "list, reply arrives for longer than the timeout, succeeds") {
    arrive_within(timeout * 3);
    const auto listed = store.list("");
    REQUIRE(listed);
    CHECK(listed->entries.at(0).value.size() == value_bytes);
}

TEST_CASE_FIXTURE(slow_reply_fixture, "watch, reply too long for its time, gives up in time") {
    const revision first{store::make_revision({}, 1)};
    arrive_within(timeout * 20);
    const auto begun = std::chrono::steady_clock::now();
    CHECK(error_of(store.watch("", first, 0ms)) == errc::reply_too_large);
    CHECK(std::chrono::steady_clock::now() - begun < timeout * 4);
}

TEST_CASE_FIXTURE(slow_reply_fixture, "watch, reply states too large a body, gives up at once") {
    constexpr std::size_t value_size = 600'000;
    const revision first{store::make_revision({}, 1)};
    for (int version = 0; version < 4; ++version) {
        stub.put("a/1", std::string(value_size, 'v'));
    }
    CHECK(error_of(store.watch("", first, 0ms)) == errc::reply_too_large);
    CHECK(store.list("")->entries.at(0).value.size() == value_size);
}

TEST_CASE_FIXTURE(slow_reply_fixture, "list, store falls silent within a reply, gives up in time") {
    pause_within_body();
    const auto begun = std::chrono::steady_clock::now();
    CHECK(list_error() == errc::unavailable);
    CHECK(std::chrono::steady_clock::now() - begun < timeout * 4);
}

TEST_CASE_FIXTURE(broken_store_fixture, "calls, generation in a trailer, is not taken from it") {
    const std::string head =
        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunks = "1e\r\n{\"items\":[],\"storeRevision\":7}\r\n0\r\n";
    answer.bytes = head + chunks + "Store-Era: 2\r\n\r\n";
    REQUIRE_FALSE(list_error());
    answer.bytes = head + chunks + "\r\n";
    CHECK_FALSE(list_error());
}

TEST_CASE_FIXTURE(broken_store_fixture,
                  "calls, second copy of a reply, is not the reply to the next call") {
    using ending = test_support::raw_answer::ending;
    const auto reply = [](const std::string& revision) {
        const std::string body =
            R"({"items":[],"storeRevision":)" + revision + R"(,"revision":)" + revision + "}";
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
               body;
    };
    const auto revision_listed = [this] { return store.list("").value().at; };
    for (const auto pause : {0ms, 20ms}) {
        INFO(pause.count());
        answer = {reply("7"), ending::keep, false, 0ms, pause, reply("7")};
        REQUIRE(revision_listed() == revision{7});
        std::this_thread::sleep_for(100ms);
        answer = {reply("8"), ending::keep};
        CHECK(revision_listed() == revision{8});
    }
}

// Guards against changes that are missed because revisions are counted again after a restore.
TEST_CASE_FIXTURE(restored_store_fixture,
                  "watch, store restored and past that revision again, returns compacted") {
    const revision seen = store.list("").value().at;
    stub.put("a/2", "lost");
    const auto batch = store.watch("", revision{seen.value() + 1}, 500ms);
    REQUIRE(batch);
    stub.restore_store();
    stub.put("a/3", "written again");
    write_until(batch->next);
    static_cast<void>(store.list("")); // The connection of before has been reset.
    CHECK(error_of(store.watch("", batch->next, 10ms)) == errc::compacted);
}

TEST_CASE_FIXTURE(restored_store_fixture, "watch, first call after a restore, returns compacted") {
    const revision seen = store.list("").value().at;
    stub.restore_store();
    stub.put("a/3", "written again");
    CHECK(error_of(store.watch("", revision{seen.value() + 1}, 10ms)) == errc::compacted);
}

TEST_CASE_FIXTURE(restored_store_fixture,
                  "list, store restored, revisions are greater than before") {
    stub.put("a/2", "lost");
    const auto before = store.list("");
    REQUIRE(before);
    stub.restore_store();
    const auto after = store.list("");
    REQUIRE(after);
    CHECK(after->at > before->at);
    CHECK(after->entries.at(0).modified > before->entries.at(1).modified);
    CHECK(after->entries.size() == 1);
}

// Guards against a write whose condition holds by chance, since revisions are given out again.
TEST_CASE_FIXTURE(restored_store_fixture,
                  "swap, expects a revision of before a restore, is not applied") {
    const auto written = store.swap("b", {}, "mine", {});
    REQUIRE(written);
    stub.restore_store();
    stub.put("b", "theirs");
    static_cast<void>(store.list(""));
    const auto outcome = store.swap("b", written->at, "mine again", {});
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error() == errc::restored);
    CHECK(store::is_surely_not_applied(outcome.error()));
    CHECK(store.list("b")->entries.at(0).value == "theirs");
}

TEST_CASE_FIXTURE(
    restored_store_fixture,
    "swap, condition holds by chance before the restore is known, outcome is unknown") {
    const auto written = store.swap("b", {}, "mine", {});
    REQUIRE(written);
    stub.restore_store();
    stub.put("b", "theirs");
    const auto outcome = store.swap("b", written->at, "mine again", {});
    CHECK(error_of(outcome) == errc::outcome_unknown);
}

// Guards against two holders of one lease: numbers of leases are given out again after a restore.
TEST_CASE_FIXTURE(restored_store_fixture,
                  "keep_alive, number of the lease granted again after a restore, has expired") {
    const auto mine = store.grant_lease(15s);
    REQUIRE(mine);
    stub.restore_store();
    platform::kv_store other{stub.store(), 200ms};
    REQUIRE(other.grant_lease(15s));
    static_cast<void>(store.list(""));
    CHECK(error_of(store.keep_alive(*mine)) == errc::lease_expired);
    CHECK(error_of(store.swap("b", {}, "x", *mine)) == errc::lease_expired);
    CHECK(store.list("b")->entries.empty());
}

TEST_CASE_FIXTURE(restored_store_fixture, "keep_alive, restore not known before, has expired") {
    const auto mine = store.grant_lease(15s);
    REQUIRE(mine);
    stub.restore_store();
    platform::kv_store other{stub.store(), 200ms};
    REQUIRE(other.grant_lease(15s));
    auto kept = store.keep_alive(*mine);
    if (!kept && kept.error() == errc::outcome_unknown) {
        kept = store.keep_alive(*mine); // The first call met the reset of the connection.
    }
    CHECK(error_of(kept) == errc::lease_expired);
}

TEST_CASE_FIXTURE(restored_store_fixture,
                  "revoke_lease, number of the lease granted again after a restore, keeps the "
                  "other's keys") {
    const auto mine = store.grant_lease(15s);
    REQUIRE(mine);
    stub.restore_store();
    platform::kv_store other{stub.store(), 200ms};
    const auto theirs = other.grant_lease(15s);
    REQUIRE(theirs);
    REQUIRE(other.swap("b", {}, "theirs", *theirs)->is_swapped);
    static_cast<void>(store.list(""));
    CHECK(store.revoke_lease(*mine));
    CHECK(store.list("b")->entries.size() == 1);
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, generation falls or is malformed, are not understood") {
    stub.state_generation("4");
    REQUIRE(store.list(""));
    for (const char* stated : {"3", "-1", "x", "4x", "99999999999", "16777216"}) {
        stub.state_generation(stated);
        CHECK(error_of(store.list("")) == errc::protocol);
        CHECK(error_of(store.swap("a/1", {}, "x", {})) == errc::outcome_unknown);
    }
    stub.state_generation("");
    CHECK(error_of(store.list("")) == errc::protocol);
    stub.state_generation("4");
    CHECK(store.list(""));
}

TEST_CASE_FIXTURE(kv_store_fixture, "calls, no generation stated, revisions are the store's") {
    const auto outcome = store.swap("a/1", {}, "x", {});
    REQUIRE(outcome);
    CHECK(store::generation_of(outcome->at).empty());
    CHECK(store.list("")->at == outcome->at);
}
