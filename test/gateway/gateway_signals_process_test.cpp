#include "test/support/gateway_process.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
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
namespace asio = boost::asio;

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

/// Callers that send requests on kept connections until the daemon's process is gone.
struct kept_callers {
    explicit kept_callers(const http::endpoint& place) : place_(place) {
        constexpr int count = 8;
        for (int number = 0; number < count; ++number) {
            threads_.emplace_back([this] { run(); });
        }
    }
    kept_callers(const kept_callers&) = delete;
    kept_callers& operator=(const kept_callers&) = delete;
    kept_callers(kept_callers&&) = delete;
    kept_callers& operator=(kept_callers&&) = delete;
    ~kept_callers() { stop(); }

    void stop() {
        is_stopping_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }
    /// \returns the number of complete responses with the status
    [[nodiscard]] std::size_t answered(int status) {
        const std::lock_guard lock{mutex_};
        return answered_[status];
    }

private:
    void run() {
        while (!is_stopping_) {
            asio::io_context loop;
            asio::ip::tcp::socket socket{loop};
            boost::system::error_code error;
            socket.connect({asio::ip::make_address(place_.host), place_.port}, error);
            while (!error && !is_stopping_) {
                error = exchange(socket);
            }
            std::this_thread::sleep_for(5ms);
        }
    }
    boost::system::error_code exchange(asio::ip::tcp::socket& socket) {
        boost::system::error_code error;
        asio::write(socket, asio::buffer(gateway_fixture::request("POST", "/book/x", {}, "b")),
                    error);
        boost::beast::flat_buffer buffer;
        boost::beast::http::response<boost::beast::http::string_body> response;
        if (!error) {
            boost::beast::http::read(socket, buffer, response, error);
        }
        if (!error) {
            const std::lock_guard lock{mutex_};
            ++answered_[static_cast<int>(response.result_int())];
        }
        if (!error && !response.keep_alive()) {
            error = asio::error::eof;
        }
        return error;
    }

    http::endpoint place_;
    std::atomic<bool> is_stopping_{false};
    std::mutex mutex_;
    std::map<int, std::size_t> answered_;
    std::vector<std::thread> threads_;
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

TEST_CASE_FIXTURE(gateway_signals_fixture,
                  "SIGTERM, callers on kept connections until the process is gone, every executed "
                  "request is answered") {
    engine_script working;
    working.plain_delay = 150ms;
    stub.set_script("shop-1", working);
    process daemon = start();
    REQUIRE(eventually([this] { return is_serving(); }));
    kept_callers callers_until_end{callers()};
    REQUIRE(eventually([&] { return callers_until_end.answered(200) > 20; }));
    daemon.send_signal(SIGTERM);
    CHECK(daemon.wait() == 0);
    callers_until_end.stop();
    // Late in the shutdown, requests that could not end in time are refused.
    CHECK(callers_until_end.answered(503) > 0);
    CHECK(callers_until_end.answered(200) == stub.count("shop-1", "/book/x"));
}
