#include "test/support/gateway_process.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/stat.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::engine_script;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::process;

struct gateway_signals_fixture : test_support::gateway_process_fixture {
    gateway_signals_fixture() {
        static_cast<void>(
            std::signal(SIGPIPE, SIG_IGN)); // NOLINT(cppcoreguidelines-pro-type-cstyle-cast)
        configured.bounds.shutdown = 4s;
        write_settings();
    }
    /// Starts the daemon and sends the signal while it reads its settings.
    [[nodiscard]] process start_with_signal(int signal) const {
        const std::string settings_file = folder / "settings.json";
        std::ifstream stored{settings_file};
        const std::string text{std::istreambuf_iterator<char>{stored}, {}};
        std::filesystem::remove(settings_file);
        REQUIRE(mkfifo(settings_file.c_str(), S_IRUSR | S_IWUSR) == 0);
        process started = start();
        int pipe = -1;
        REQUIRE(eventually([&] {
            pipe = open(settings_file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
            return pipe >= 0;
        }));
        started.send_signal(signal);
        std::this_thread::sleep_for(50ms);
        std::filesystem::remove(settings_file);
        write_settings(); // For the reload.
        static_cast<void>(write(pipe, text.data(), text.size()));
        close(pipe);
        return started;
    }
    [[nodiscard]] std::string call(const std::string& method, const std::string& target) const {
        const test_support::raw_caller caller{callers()};
        caller.send(gateway_fixture::request(method, target, "Connection: close\r\n"));
        return caller.receive_all();
    }
};

} // namespace

TEST_CASE_FIXTURE(gateway_signals_fixture, "SIGHUP, during the start, does not end the daemon") {
    const process daemon = start_with_signal(SIGHUP);
    REQUIRE(eventually([this] { return is_serving(); }));
    CHECK(call("GET", "/plain/x").starts_with("HTTP/1.1 200"));
}

TEST_CASE_FIXTURE(gateway_signals_fixture, "SIGTERM, during the start, ends with exit status 0") {
    process daemon = start_with_signal(SIGTERM);
    CHECK(daemon.wait() == 0);
}

TEST_CASE_FIXTURE(gateway_signals_fixture,
                  "start, previous process still holds the addresses, serves after its end") {
    process previous = start();
    REQUIRE(eventually([this] { return is_serving(); }));
    const process next = start();
    REQUIRE(eventually([this] { return has_logged("listener.failed"); }));
    CHECK(has_logged("\"address\":\"" + configured.peers + "\""));
    CHECK(has_logged("address in use"));
    previous.send_signal(SIGTERM);
    CHECK(previous.wait() == 0);
    REQUIRE(eventually([this] { return count_logged("\"ready\":true") == 2; }));
    CHECK(call("GET", "/plain/x").starts_with("HTTP/1.1 200"));
}

TEST_CASE_FIXTURE(gateway_signals_fixture,
                  "SIGTERM, while the daemon waits for its addresses, ends with exit status 0") {
    const process previous = start();
    REQUIRE(eventually([this] { return is_serving(); }));
    process next = start();
    REQUIRE(eventually([this] { return has_logged("listener.failed"); }));
    next.send_signal(SIGTERM);
    CHECK(next.wait() == 0);
    CHECK(call("GET", "/plain/x").starts_with("HTTP/1.1 200"));
}

TEST_CASE_FIXTURE(gateway_signals_fixture,
                  "SIGTERM, repeated within the shutdown, cuts no running stream") {
    engine_script slow;
    slow.events = 100;
    slow.event_gap = 20ms;
    stub.set_script("x-1", slow);
    process daemon = start();
    REQUIRE(eventually([this] { return is_serving(); }));
    const test_support::raw_caller caller{callers()};
    caller.send(
        gateway_fixture::request("POST", "/stream/x", gateway_fixture::stream_head(), "prompt"));
    static_cast<void>(caller.receive_until("id: 1\n"));
    for (int times = 0; times < 5; ++times) {
        daemon.send_signal(SIGTERM);
        std::this_thread::sleep_for(100ms);
    }
    CHECK(caller.receive_until("0\r\n\r\n").find("id: 99\n") != std::string::npos);
    CHECK(daemon.wait() == 0);
}
