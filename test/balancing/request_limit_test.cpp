#include "cicadahatch/core"
#include "src/balancing/request_limit.hpp"

#include <deque>
#include <doctest/doctest.h>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::balancing;

constexpr auto window = 4s;

/// The users' rule LIMIT: what a server may get in any window.
double max_requests_in_window(double rate) {
    return 1.5 * rate * std::chrono::duration<double>{window}.count() + 5;
}

/// Daemons that have all just heard a server's limit, each with its share.
struct request_limit_fixture {
    manual_clock time;
    random_source random{1};
    std::vector<request_limit> shares;
    std::deque<time_point> sent; ///< within the last window

    void state(double rate, std::size_t daemons) {
        shares.clear();
        sent.clear();
        for (std::size_t index = 0; index < daemons; ++index) {
            shares.push_back(make_request_limit(rate, random, time.now()));
        }
    }
    /// \returns whether the daemon could send
    bool try_send(std::size_t daemon) {
        if (!allows_request(shares.at(daemon), shares.size(), time.now())) {
            return false;
        }
        charge_request(shares.at(daemon), shares.size(), time.now());
        sent.push_back(time.now());
        return true;
    }
    /// Lets time pass in which each daemon tries to send with a probability per step.
    /// \returns the requests sent
    std::size_t run(duration length, double probability) {
        std::size_t total = 0;
        constexpr auto step = 10ms;
        for (duration elapsed{0}; elapsed < length; elapsed += step) {
            time.advance(step);
            for (std::size_t daemon = 0; daemon < shares.size(); ++daemon) {
                total += random.chance(probability) && try_send(daemon) ? 1 : 0;
            }
            while (!sent.empty() && sent.front() <= time.now() - window) {
                sent.pop_front();
            }
            const double rate = shares.front().requests_per_second;
            REQUIRE(static_cast<double>(sent.size()) <= max_requests_in_window(rate));
        }
        return total;
    }
};

} // namespace

TEST_CASE_FIXTURE(request_limit_fixture,
                  "limit, demand far above it, all daemons keep it in every window and use it") {
    for (const std::size_t daemons : {1U, 7U, 59U, 81U, 295U, 410U}) {
        for (const double rate : {2.0, 6.0, 26.0, 80.0}) {
            INFO(daemons << " daemons, " << rate << " a second");
            state(rate, daemons);
            const std::size_t total = run(60s, 1.0);
            CHECK(static_cast<double>(total) >= 0.8 * rate * 60);
        }
    }
}

TEST_CASE_FIXTURE(request_limit_fixture,
                  "limit, demand at once after idleness, daemons have accumulated nothing") {
    for (const std::size_t daemons : {7U, 59U, 295U, 410U}) {
        for (const double rate : {6.0, 26.0, 80.0}) {
            INFO(daemons << " daemons, " << rate << " a second");
            state(rate, daemons);
            run(120s, 0);
            run(20s, 1.0);
        }
    }
}

TEST_CASE_FIXTURE(request_limit_fixture,
                  "limit, requests that could not wait, later ones make up for them") {
    state(5, 1);
    for (int sends = 0; sends < 10; ++sends) {
        charge_request(shares.front(), 1, time.now());
    }
    CHECK_FALSE(allows_request(shares.front(), 1, time.now()));
    CHECK(time_until_allowed(shares.front(), 1, time.now()) > 1500ms);
}

TEST_CASE_FIXTURE(
    request_limit_fixture,
    "limit, time until allowed, is the earliest time at which a request may be sent") {
    state(3, 7);
    for (int round = 0; round < 50; ++round) {
        const duration wait = time_until_allowed(shares.front(), 7, time.now());
        if (wait > 2ms) {
            time.advance(wait - 1ms);
            CHECK_FALSE(allows_request(shares.front(), 7, time.now()));
            time.advance(2ms);
        }
        CHECK(try_send(0));
    }
}

TEST_CASE_FIXTURE(request_limit_fixture,
                  "limit, stated again with another rate, grants no request anew") {
    state(2, 1);
    run(10s, 1.0);
    REQUIRE_FALSE(allows_request(shares.front(), 1, time.now()));
    for (int round = 0; round < 100; ++round) {
        set_rate(shares.front(), round % 2 == 0 ? 2.1 : 2.0, 1, time.now());
        CHECK_FALSE(allows_request(shares.front(), 1, time.now()));
    }
}

TEST_CASE_FIXTURE(request_limit_fixture, "limit of zero, still lets a request through at times") {
    state(0, 7);
    run(120s, 1.0);
    CHECK(time_until_allowed(shares.front(), 7, time.now()) < 120s);
}
