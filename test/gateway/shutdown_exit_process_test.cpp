#include "test/support/gateway_process.hpp"

#include <csignal>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::engine_script;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::process;
using test_support::raw_caller;
using test_support::store_mode;

constexpr std::chrono::seconds shutdown_bound = 4s;

/// A daemon that is asked to end, before a store from which it can be cut off.
struct shutdown_exit_fixture : test_support::gateway_process_fixture {
    shutdown_exit_fixture() {
        configured.bounds.shutdown = shutdown_bound;
        configured.store.address = http::to_string(stub.severable_store());
        write_settings();
    }
    /// Opens a stream that lasts beyond the shutdown.
    [[nodiscard]] std::unique_ptr<raw_caller> open_stream() {
        engine_script lasting;
        lasting.events = 400;
        lasting.event_gap = 20ms;
        stub.set_script("x-1", lasting);
        auto caller = std::make_unique<raw_caller>(callers());
        caller->send(gateway_fixture::request("POST", "/stream/x", gateway_fixture::stream_head(),
                                              "prompt"));
        REQUIRE(caller->receive_until("id: 1\n").find("id: 1\n") != std::string::npos);
        return caller;
    }
    [[nodiscard]] int status_of_call(const std::string& target) const {
        const raw_caller caller{callers()};
        caller.send(gateway_fixture::request("GET", target, "Connection: close\r\n"));
        return gateway_fixture::status_of(caller.receive_all());
    }
    /// \returns the time from now to the end of the process
    static duration time_to_end(process& daemon) {
        const auto begun = std::chrono::steady_clock::now();
        static_cast<void>(daemon.wait());
        return std::chrono::steady_clock::now() - begun;
    }
};

} // namespace

// Guards against a call to the store that holds up the end of the process.
TEST_CASE_FIXTURE(shutdown_exit_fixture,
                  "SIGTERM, store fails during the shutdown, ends within the bound") {
    process daemon = start();
    REQUIRE(eventually([this] { return is_serving(); }));
    const auto stream = open_stream();
    SUBCASE("it does not reply") {
        stub.set_store_mode(store_mode::unresponsive);
    }
    SUBCASE("it refuses calls") {
        stub.set_store_mode(store_mode::busy);
    }
    SUBCASE("its replies are lost") {
        stub.set_store_mode(store_mode::lost_reply);
    }
    SUBCASE("it resets connections") {
        stub.sever_store(true);
    }
    daemon.send_signal(SIGTERM);
    CHECK(time_to_end(daemon) <= shutdown_bound);
}

TEST_CASE_FIXTURE(shutdown_exit_fixture,
                  "SIGTERM, store does not reply since the start, refuses requests and ends with "
                  "exit status 0") {
    stub.set_store_mode(store_mode::unresponsive);
    process daemon = start();
    REQUIRE(eventually([this] { return has_logged("daemon.started"); }));
    daemon.send_signal(SIGTERM);
    REQUIRE(eventually([this] { return has_logged("daemon.signal"); }));
    CHECK(status_of_call("/plain/x") == 503);
    CHECK(daemon.wait() == 0);
}

TEST_CASE_FIXTURE(shutdown_exit_fixture,
                  "SIGTERM, repeated and with SIGHUP while the store does not reply, ends within "
                  "the bound") {
    process daemon = start();
    REQUIRE(eventually([this] { return is_serving(); }));
    const auto stream = open_stream();
    const auto begun = std::chrono::steady_clock::now();
    daemon.send_signal(SIGTERM);
    stub.set_store_mode(store_mode::unresponsive);
    for (int times = 0; times < 5; ++times) {
        std::this_thread::sleep_for(200ms);
        daemon.send_signal(SIGHUP);
        daemon.send_signal(SIGTERM);
    }
    stub.set_store_mode(store_mode::normal);
    static_cast<void>(daemon.wait());
    CHECK(std::chrono::steady_clock::now() - begun <= shutdown_bound);
    CHECK(has_logged("settings.reloaded"));
}

TEST_CASE_FIXTURE(shutdown_exit_fixture,
                  "SIGTERM, daemon suspended during the shutdown, follows the store once resumed") {
    process daemon = start();
    REQUIRE(eventually([this] { return is_serving(); }));
    const auto stream = open_stream();
    daemon.send_signal(SIGTERM);
    REQUIRE(eventually([this] { return has_logged("daemon.signal"); }));
    daemon.send_signal(SIGSTOP);
    auto moved = nlohmann::json::parse(test_support::sample_platform_configuration(2));
    moved["routes"][0]["prefix"] = "/moved/";
    stub.put("op/config", moved.dump());
    std::this_thread::sleep_for(1s);
    daemon.send_signal(SIGCONT);
    REQUIRE(eventually([this] { return has_logged(R"("configuration.seen","version":2)"); }));
    CHECK(status_of_call("/moved/x") == 200);
    CHECK(status_of_call("/plain/x") == 404);
    CHECK(daemon.wait() != 0); // The stream was cut off at the exit.
}
