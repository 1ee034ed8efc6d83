#include "test/support/gateway_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::engine_script;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::gateway_fleet;
using test_support::received_request;
using stop_watch = std::chrono::steady_clock;

constexpr double limit = 6;
constexpr auto window = 4s;

/// The users' rule LIMIT: what a server may get in any window.
constexpr auto max_requests_in_window =
    static_cast<std::size_t>(1.5 * limit * std::chrono::duration<double>{window}.count()) + 5;

/// Time after which a daemon that has heard the limit must keep it (users' rule LIMIT).
constexpr auto reaction_time = 500ms;

/// Upper bound of the time of a refusal on a busy machine: shorter than the wait for the next
/// request that the limit allows.
constexpr auto immediately = 500ms;

struct server_limit_fixture : gateway_fleet {
    server_limit_fixture() : gateway_fleet(5) {}

    void state_limit(const std::string& engine, double requests_per_second) {
        engine_script script;
        script.request_limit = requests_per_second;
        stub.set_script(engine, script);
    }
    /// Waits until all daemons have heard the limit, and for as long as they may take to react.
    void await_limit() {
        REQUIRE(eventually([this] { return all_have_logged("backend.limited"); }));
        std::this_thread::sleep_for(reaction_time);
    }
    /// \returns the most requests that an engine received in a window after the given time
    [[nodiscard]] std::size_t max_in_window(const std::string& engine,
                                            stop_watch::time_point from) const {
        std::vector<stop_watch::time_point> times;
        for (const received_request& row : stub.seen()) {
            if (row.engine == engine && row.at >= from) {
                times.push_back(row.at);
            }
        }
        std::size_t most = 0;
        for (auto first = times.begin(); first != times.end(); ++first) {
            const auto end = std::lower_bound(first, times.end(), *first + window);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }
};

} // namespace

TEST_CASE_FIXTURE(server_limit_fixture,
                  "plain server, states a request limit, all daemons together keep it") {
    add_engine("shop-2", "shop", "");
    state_limit("shop-1", limit);
    // As uneven as hashed callers are: one daemon alone sends more than the limit.
    load({40, 6, 6, 6, 6}, [] { return gateway_fixture::request("GET", "/plain/x", close_field); });
    await_limit();
    const auto from = stop_watch::now();
    std::this_thread::sleep_for(6s);
    stop_load();
    CHECK(max_in_window("shop-1", from) <= max_requests_in_window);
    CHECK(count_status(200) == responses());
}

TEST_CASE_FIXTURE(server_limit_fixture,
                  "decode engine, states a request limit, all daemons together keep it") {
    add_engine("x-2", "model", "decode");
    state_limit("x-1", limit);
    load({12, 5, 5, 5, 5}, [] {
        return gateway_fixture::request("POST", "/stream/x",
                                        close_field + gateway_fixture::stream_head(), "prompt");
    });
    await_limit();
    const auto from = stop_watch::now();
    std::this_thread::sleep_for(6s);
    stop_load();
    CHECK(max_in_window("x-1", from) <= max_requests_in_window);
    CHECK(count_status(200) == responses());
}

TEST_CASE_FIXTURE(server_limit_fixture,
                  "only server, states a request limit, callers beyond it are refused at once") {
    state_limit("shop-1", limit);
    load({30, 6, 6, 6, 6}, [] { return gateway_fixture::request("POST", "/book/x", close_field); });
    await_limit();
    const auto from = stop_watch::now();
    std::this_thread::sleep_for(6s);
    stop_load();
    CHECK(max_in_window("shop-1", from) <= max_requests_in_window);
    CHECK(count_status(200) + count_status(503) == responses());
    // One execution for each success: what was refused has not run.
    CHECK(stub.count("shop-1", "/book/x") == count_status(200));
    CHECK(every_refusal_has("Retry-After: "));
    CHECK(slowest_refusal() < immediately);
}

TEST_CASE_FIXTURE(
    server_limit_fixture,
    "request limit, registrations of daemons expire in an outage, is kept meanwhile") {
    add_engine("shop-2", "shop", "");
    state_limit("shop-1", limit);
    load({40, 10, 10, 10, 10},
         [] { return gateway_fixture::request("GET", "/plain/x", close_field); });
    await_limit();
    const auto from = stop_watch::now();
    stub.expire_leases();
    REQUIRE(eventually([this] { return all_have_logged("\"daemons\":0"); }));
    std::this_thread::sleep_for(6s);
    stop_load();
    CHECK(max_in_window("shop-1", from) <= max_requests_in_window);
}

TEST_CASE_FIXTURE(server_limit_fixture,
                  "plain server, states a request limit no longer, gets its part of the requests") {
    add_engine("shop-2", "shop", "");
    state_limit("shop-1", limit);
    load({10, 10, 10, 10, 10},
         [] { return gateway_fixture::request("GET", "/plain/x", close_field); });
    await_limit();
    stub.set_script("shop-1", engine_script{});
    CHECK(eventually([this] { return all_have_logged("backend.limit.lifted"); }));
    const std::size_t before = stub.count("shop-1", "/plain/x");
    std::this_thread::sleep_for(2s);
    stop_load();
    CHECK(stub.count("shop-1", "/plain/x") - before > 2 * 2 * limit);
}
