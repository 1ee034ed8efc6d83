#include "test/support/gateway_fixture.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::engine_script;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::raw_caller;

/// Ten times the route's gap objective, less than the caller's timeout.
constexpr std::chrono::milliseconds long_silence = 1s;

/// Longer than the caller's timeout.
constexpr std::chrono::milliseconds endless_silence = 60s;

/// The only decode engine falls silent in the middle of each stream.
struct stalled_streams_fixture : gateway_fixture {
    engine_script silent;

    stalled_streams_fixture() { set_silence(long_silence); }

    void set_silence(std::chrono::milliseconds silence) {
        silent.silent_before_event = 2;
        silent.silence = silence;
        stub.set_script("x-1", silent);
    }
    /// Sends a stream and waits until it has begun.
    [[nodiscard]] std::unique_ptr<raw_caller> begin_stream() const {
        auto caller = std::make_unique<raw_caller>(callers());
        caller->send(
            request("POST", "/resume/x", "Connection: close\r\n" + stream_head(), "prompt"));
        REQUIRE(caller->receive_until("id: 1\n").find("id: 1\n") != std::string::npos);
        return caller;
    }
    void add_second_engine() {
        stub.add_engine("x-2", "model", "decode");
        REQUIRE(eventually([this] { return has_logged("\"x-2\""); }));
    }
    [[nodiscard]] static bool is_rest_complete(const std::string& rest) {
        return rest.find("id: 2\n") != std::string::npos &&
               rest.find("id: 3\n") != std::string::npos && rest.ends_with("0\r\n\r\n");
    }
};

} // namespace

TEST_CASE_FIXTURE(stalled_streams_fixture,
                  "stalled stream, engine is reachable and no other has room, is completed") {
    const auto caller = begin_stream();
    silent.has_capacity = false;
    stub.set_script("x-1", silent);
    const std::string rest = caller->receive_all();
    INFO(rest);
    CHECK(is_rest_complete(rest));
    CHECK(has_logged("stream.stalled"));
}

TEST_CASE_FIXTURE(stalled_streams_fixture,
                  "stalled stream, shutdown and engine is reachable, is completed") {
    const auto caller = begin_stream();
    daemon->shut_down();
    const std::string rest = caller->receive_all();
    INFO(rest);
    CHECK(is_rest_complete(rest));
}

TEST_CASE_FIXTURE(stalled_streams_fixture,
                  "stalled stream, engine is reachable, does not run at a second engine") {
    const auto caller = begin_stream();
    add_second_engine();
    const std::string rest = caller->receive_all();
    INFO(rest);
    CHECK(is_rest_complete(rest));
    CHECK(stub.count("x-2", "/resume/x") == 0);
}

TEST_CASE_FIXTURE(stalled_streams_fixture,
                  "stalled stream, engine is unreachable, goes on at another engine") {
    set_silence(endless_silence);
    const auto caller = begin_stream();
    add_second_engine();
    silent.is_unresponsive = true;
    stub.set_script("x-1", silent);
    const std::string rest = caller->receive_all();
    INFO(rest);
    CHECK(is_rest_complete(rest));
    CHECK(stub.count("x-2", "/resume/x") == 1);
}

TEST_CASE_FIXTURE(gateway_fixture,
                  "stream, first event is late and no further attempt is allowed, is completed") {
    engine_script slow;
    slow.first_event_delay = 300ms; // Three times the route's gap objective.
    stub.set_script("x-1", slow);
    const std::string response = call("POST", "/resume/x", stream_head(), "prompt");
    INFO(response);
    CHECK(status_of(response) == 200);
    CHECK(response.ends_with("0\r\n\r\n"));
}
