#include "cicadahatch/claims"
#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <thread>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;

constexpr std::chrono::milliseconds booking_deadline{3'000};
/// Well below the time after which a daemon reads back a write without a reply.
constexpr std::chrono::milliseconds stop_bound{1'000};
constexpr std::chrono::milliseconds repeat_pause{500};
constexpr std::chrono::seconds unknown_margin{20};
constexpr int most_rounds = 5;
constexpr const char* path = "/services/booking/orders/1";
constexpr const char* body = "coring truck";

/// Two daemons of two failure domains, and a booking that the first of them has claimed.
struct claim_holder_fixture {
    cluster running;
    std::string key;
    std::chrono::steady_clock::time_point began;
    std::chrono::steady_clock::time_point arrived_by; ///< entry-1 had the booking by then
    std::future<result<http::response>> first;

    claim_holder_fixture() {
        running.start_backend("booking", "s1", backend_role::plain, "north",
                              {"--plain-delay-ms", "500"});
        settings::service described = plain_service("booking");
        described.urgent.deadline = booking_deadline;
        described.deferrable.deadline = booking_deadline;
        running.publish(described);
        running.start_daemon("entry-1", "north");
        running.start_daemon("far-1", "south");
        REQUIRE(running.wait_until_ready());
    }

    /// Sends a booking through entry-1.
    void begin_booking(const std::string& name) {
        key = name;
        began = std::chrono::steady_clock::now();
        const http::endpoint place = running.callers("entry-1");
        first =
            std::async(std::launch::async, [place, name] { return book(place, path, name, body); });
    }

    /// Stops entry-1 while the reply to its claim, which stands, is held back. A slow machine may
    /// leave it the time to read the claim back; then another booking is tried.
    void stop_between_claim_and_sending(int signal) {
        for (int round = 0; round < most_rounds; ++round) {
            set_platform_mode(running.platform().place(), "hold_reply", 1);
            begin_booking("key-" + std::to_string(round));
            REQUIRE(eventually([&] { return held_replies(running.platform().place()) == 1; }));
            arrived_by = std::chrono::steady_clock::now();
            running.daemon("entry-1").send_signal(signal);
            if (std::chrono::steady_clock::now() - began < stop_bound) {
                break;
            }
            set_platform_mode(running.platform().place(), "none");
            running.restart_daemon("entry-1");
            REQUIRE(running.wait_until_ready());
        }
        REQUIRE(runs() == 0);
    }

    std::ptrdiff_t runs() {
        const std::vector<std::string> keys = running.runs("booking");
        return std::count(keys.begin(), keys.end(), key);
    }

    std::string code_at(const std::string& daemon) {
        const auto answer = book(running.callers(daemon), path, key, body);
        return answer ? text_field(answer->body, "code") : "no answer";
    }

    /// Waits until nothing more may be sent for the booking; a repeat elsewhere does not run.
    void check_in_progress_past_deadline() {
        std::this_thread::sleep_until(arrived_by + booking_deadline);
        CHECK(code_at("far-1") == "in_progress");
    }

    /// Repeats the booking elsewhere until its outcome counts as unknown, which takes the largest
    /// difference between two clocks after the deadline. The pause leaves the daemon its share of
    /// the platform's rate.
    void check_repeats_until_unknown() {
        CHECK(eventually(
            [&] {
                std::this_thread::sleep_for(repeat_pause);
                const std::string code = code_at("far-1");
                const bool is_told = code == "in_progress" || code == "outcome_unknown";
                CHECK_MESSAGE(is_told, code);
                return code == "outcome_unknown";
            },
            booking_deadline + claims::max_clock_skew + unknown_margin));
    }

    void check_repeats_until_answered() {
        CHECK(eventually([&] {
            std::this_thread::sleep_for(repeat_pause);
            return code_at("far-1").empty();
        }));
    }
};

} // namespace

TEST_CASE_FIXTURE(claim_holder_fixture, "daemon killed between claim and sending, never runs") {
    stop_between_claim_and_sending(SIGKILL);
    check_in_progress_past_deadline();
    check_repeats_until_unknown();
    running.restart_daemon("entry-1");
    REQUIRE(running.wait_until_ready());
    CHECK(code_at("entry-1") == "outcome_unknown");
    CHECK(code_at("far-1") == "outcome_unknown");
    CHECK(runs() == 0);
}

TEST_CASE_FIXTURE(claim_holder_fixture, "daemon killed after sending, runs once") {
    begin_booking("sent");
    REQUIRE(eventually([&] { return runs() == 1; }));
    arrived_by = std::chrono::steady_clock::now();
    running.daemon("entry-1").kill();
    check_in_progress_past_deadline();
    CHECK(runs() == 1);
}

TEST_CASE_FIXTURE(claim_holder_fixture, "daemon frozen before sending, woken late, does not send") {
    stop_between_claim_and_sending(SIGSTOP);
    check_in_progress_past_deadline();
    set_platform_mode(running.platform().place(), "none");
    running.daemon("entry-1").send_signal(SIGCONT);
    const auto answer = first.get();
    REQUIRE(answer);
    INFO(answer->body);
    CHECK(text_field(answer->body, "execution") == "not_run");
    CHECK(runs() == 0);
    // The first attempt has given its claim up, truthfully: a repeat may take its place.
    check_repeats_until_answered();
    CHECK(code_at("entry-1").empty());
    CHECK(runs() == 1);
}

TEST_CASE_FIXTURE(claim_holder_fixture, "daemon frozen before sending, woken in time, runs once") {
    stop_between_claim_and_sending(SIGSTOP);
    CHECK(code_at("far-1") == "in_progress");
    set_platform_mode(running.platform().place(), "none");
    running.daemon("entry-1").send_signal(SIGCONT);
    const auto answer = first.get();
    REQUIRE(answer);
    const bool is_refused = text_field(answer->body, "execution") == "not_run";
    CHECK((answer->status == http::status_ok || is_refused));
    check_repeats_until_answered();
    CHECK(runs() == 1);
}
