#include "test/support/gateway_process.hpp"

#include <csignal>
#include <doctest/doctest.h>
#include <iterator>
#include <memory>
#include <sstream>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::process;
using test_support::raw_caller;

constexpr std::uint32_t memory_mb = 48;
constexpr std::uint32_t descriptors = 400;
constexpr std::size_t body_bytes = 1024UL * 1024;

/// A crowd of 64 bodies of 1 MB is more than the memory of the process.
constexpr int crowd_size = 64;

constexpr std::size_t large_chunk = 64UL * 1024;
constexpr std::size_t small_chunk = 16;

/// Callers that leave their requests unfinished and stay connected.
struct crowd {
    http::endpoint place;
    std::vector<std::unique_ptr<raw_caller>> callers;

    void send(const std::string& bytes) {
        callers.push_back(std::make_unique<raw_caller>(place));
        callers.back()->send(bytes);
    }
    static std::string chunked_body(std::size_t chunk_size) {
        std::ostringstream size;
        size << std::hex << chunk_size;
        const std::string chunk = size.str() + "\r\n" + std::string(chunk_size, 'b') + "\r\n";
        std::string body;
        body.reserve(body_bytes / chunk_size * chunk.size());
        for (std::size_t sent = 0; sent < body_bytes; sent += chunk_size) {
            body += chunk;
        }
        body.resize(body.size() - 3); // stops before the last byte of the last chunk
        return body;
    }
    void send_chunked_bodies(std::size_t chunk_size) {
        const std::string body = chunked_body(chunk_size);
        for (int index = 0; index < crowd_size; ++index) {
            send(gateway_fixture::request("POST", "/book/x", "Transfer-Encoding: chunked\r\n") +
                 body);
        }
    }
    void send_bodies_with_length() {
        for (int index = 0; index < crowd_size; ++index) {
            std::string request =
                gateway_fixture::request("POST", "/book/x", {}, std::string(body_bytes, 'b'));
            request.pop_back();
            send(request);
        }
    }
    void send_unfinished_heads() {
        constexpr std::size_t head_bytes = 4000;
        for (int index = 0; index < crowd_size; ++index) {
            send("GET /plain/x HTTP/1.1\r\nHost: t.example\r\nX-Filler: " +
                 std::string(head_bytes, 'h'));
        }
    }
};

struct untrusted_callers_fixture : test_support::gateway_process_fixture {
    untrusted_callers_fixture() {
        static_cast<void>(
            std::signal(SIGPIPE, SIG_IGN)); // NOLINT(cppcoreguidelines-pro-type-cstyle-cast)
        configured.limits.memory_mb = memory_mb;
        configured.limits.descriptors = descriptors;
        write_settings();
        auto configuration = nlohmann::json::parse(test_support::sample_platform_configuration(2));
        configuration["limits"]["bodyBytes"] = body_bytes;
        configuration["limits"]["headerTimeoutMs"] = 60'000;
        stub.put("op/config", configuration.dump());
    }
    [[nodiscard]] crowd make_crowd() const { return {callers(), {}}; }

    [[nodiscard]] static std::size_t peak_memory_mb(const process& daemon) {
        std::ifstream status{"/proc/" + std::to_string(daemon.id()) + "/status"};
        std::string word;
        while (status >> word) {
            if (word == "VmHWM:") {
                std::size_t kilobytes = 0;
                status >> kilobytes;
                return kilobytes / 1024;
            }
        }
        FAIL("the process is gone");
        return 0;
    }
    [[nodiscard]] static std::size_t open_descriptors(const process& daemon) {
        const std::filesystem::directory_iterator listed{"/proc/" + std::to_string(daemon.id()) +
                                                         "/fd"};
        return static_cast<std::size_t>(std::distance(begin(listed), end(listed)));
    }
    [[nodiscard]] int status_of_ordinary_request(const std::string& method,
                                                 const std::string& body) const {
        const raw_caller caller{callers()};
        caller.send(gateway_fixture::request(method, "/plain/x", "Connection: close\r\n", body));
        const std::string response = caller.receive_all();
        return gateway_fixture::status_of(response);
    }
    /// Waits until the daemon's memory has not grown for a while: it has read what it will read.
    static void wait_until_read(const process& daemon) {
        constexpr int steady_checks = 20;
        std::size_t peak = 0;
        for (int steady = 0; steady < steady_checks; ++steady) {
            std::this_thread::sleep_for(50ms);
            const std::size_t now = peak_memory_mb(daemon);
            steady = now > peak ? 0 : steady;
            peak = std::max(peak, now);
        }
    }
    void check_daemon(const process& daemon) const {
        wait_until_read(daemon);
        CHECK(kill(daemon.id(), 0) == 0);
        CHECK(peak_memory_mb(daemon) <= memory_mb);
        CHECK(open_descriptors(daemon) <= descriptors);
        CHECK(status_of_ordinary_request("GET", {}) == 200);
        CHECK(status_of_ordinary_request("POST", std::string(600, 'b')) == 200);
    }
};

} // namespace

TEST_CASE_FIXTURE(untrusted_callers_fixture,
                  "caller_connection, many unfinished bodies in large chunks, memory is bounded") {
    const process daemon = start();
    REQUIRE(eventually([&] { return is_serving(); }));
    crowd callers = make_crowd();
    callers.send_chunked_bodies(large_chunk);
    check_daemon(daemon);
}

TEST_CASE_FIXTURE(untrusted_callers_fixture,
                  "caller_connection, many unfinished bodies in small chunks, memory is bounded") {
    const process daemon = start();
    REQUIRE(eventually([&] { return is_serving(); }));
    crowd callers = make_crowd();
    callers.send_chunked_bodies(small_chunk);
    check_daemon(daemon);
}

TEST_CASE_FIXTURE(untrusted_callers_fixture,
                  "caller_connection, unfinished heads and bodies together, memory is bounded") {
    const process daemon = start();
    REQUIRE(eventually([&] { return is_serving(); }));
    crowd callers = make_crowd();
    callers.send_unfinished_heads();
    callers.send_bodies_with_length();
    callers.send_chunked_bodies(large_chunk);
    check_daemon(daemon);
}

TEST_CASE_FIXTURE(untrusted_callers_fixture,
                  "caller_connection, single body of the largest size, is forwarded whole") {
    const process daemon = start();
    REQUIRE(eventually([&] { return is_serving(); }));
    CHECK(status_of_ordinary_request("POST", std::string(body_bytes, 'b')) == 200);
    CHECK(peak_memory_mb(daemon) <= memory_mb);
}
