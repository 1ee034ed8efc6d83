#include "test/support/gateway_fleet.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::engine_script;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::gateway_fleet;
using test_support::raw_caller;

constexpr std::size_t slots = 8; ///< of each engine

settings::installation_bounds short_shutdown() {
    settings::installation_bounds bounds;
    bounds.shutdown = 1s;
    return bounds;
}

std::string stream(const std::string& prompt) {
    const std::string head =
        "X-Cicadahatch-Token-Usage: 100,80\r\nX-Cicadahatch-Prompt-Prefix: " + prompt + ":100\r\n";
    return gateway_fixture::request("POST", "/stream/x", head, "prompt");
}

/// Two gateways, one of which is the home of the engines.
struct gateway_shutdown_fixture : gateway_fleet {
    gateway_shutdown_fixture() : gateway_fleet(2, short_shutdown()) {}

    /// Takes all slots of the decode engine for longer than the shutdown.
    void fill_engine() {
        engine_script lasting;
        lasting.events = 200;
        lasting.event_gap = 20ms;
        stub.set_script("x-1", lasting);
        for (std::size_t number = 0; number < slots; ++number) {
            filling_.push_back(std::make_unique<raw_caller>(callers(0)));
            filling_.back()->send(stream("f" + std::to_string(number)));
            REQUIRE_FALSE(filling_.back()->receive_until("id: 1\n").empty());
        }
    }

private:
    std::vector<std::unique_ptr<raw_caller>> filling_;
};

} // namespace

TEST_CASE_FIXTURE(gateway_shutdown_fixture,
                  "shutdown, stream that was refused before waits for a slot past the exit, is "
                  "rejected with a time to retry") {
    fill_engine();
    const raw_caller first{callers(0)};
    first.send(stream("a"));
    REQUIRE(first.receive_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
    const std::size_t other = find_without("home.refused");
    const raw_caller again{callers(other)};
    again.send(stream("a"));
    std::this_thread::sleep_for(100ms);
    shut_down(other);
    const std::string response = again.receive_all();
    INFO(response);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Retry-After: ") != std::string::npos);
    CHECK(stub.count("", "/stream/x") == 2 * slots); // Each filling stream's prefill and decode.
}

TEST_CASE_FIXTURE(gateway_shutdown_fixture,
                  "shutdown, server has not responded at the exit, caller gets a final response") {
    engine_script hanging;
    hanging.plain = engine_script::plain_answer::hang;
    stub.set_script("shop-1", hanging);
    const raw_caller caller{callers(0)};
    caller.send(gateway_fixture::request("POST", "/book/x", {}, "b"));
    REQUIRE(eventually([this] { return stub.count("shop-1", "/book/x") == 1; }));
    shut_down(0);
    const std::string response = caller.receive_all();
    INFO(response);
    CHECK(response.starts_with("HTTP/1.1 502"));
    CHECK(response.ends_with("}"));
}
