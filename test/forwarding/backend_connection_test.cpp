#include "src/forwarding/backend_connection.hpp"

#include "src/forwarding/error.hpp"
#include "test/support/raw_server.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::raw_answer;
using test_support::raw_server;
namespace asio = forwarding::asio;

/// More than the socket buffers of both sides hold.
constexpr std::size_t long_upload_bytes = 64UL * 1024 * 1024;

struct received_response {
    std::error_code error;
    unsigned status = 0;
    std::string body;
    bool is_reusable = false;
};

/// Exchanges one request with a raw_server.
struct backend_connection_fixture {
    asio::io_context loop{1};

    /// \param upload_bytes size of the request's body
    /// \param reading_delay time from the request to the first read
    received_response exchange(const raw_answer& answer, std::size_t upload_bytes,
                               std::chrono::milliseconds reading_delay = 0ms) {
        const raw_server server{[&answer](const std::string&) { return answer; }};
        received_response received;
        loop.restart();
        asio::co_spawn(loop, run(server.place(), upload_bytes, reading_delay, received),
                       asio::detached);
        loop.run();
        return received;
    }
    asio::awaitable<void> run(http::endpoint place, std::size_t upload_bytes,
                              std::chrono::milliseconds reading_delay,
                              received_response& received) {
        const auto connection =
            std::make_shared<forwarding::backend_connection>(loop, backend_id{"b"}, incarnation{});
        connection->set_deadline(time_point::clock::now() + 5s);
        received.error = co_await connection->connect(place);
        forwarding::backend_request request{forwarding::beast_http::verb::post, "/x", 11};
        request.body().assign(upload_bytes, 'u');
        request.prepare_payload();
        connection->start_request(std::move(request));
        asio::steady_timer delay{loop, reading_delay};
        forwarding::net_error ignored;
        co_await delay.async_wait(forwarding::capture_error(ignored));
        if (!received.error) {
            received.error = co_await connection->read_head();
        }
        while (!received.error && !connection->is_response_complete()) {
            received.error = co_await connection->read_body(received.body);
        }
        received.status = received.error ? 0 : connection->status();
        received.is_reusable = connection->is_reusable();
        connection->close();
    }
};

constexpr std::array<std::chrono::milliseconds, 2> reading_delays{0ms, 300ms};

} // namespace

TEST_CASE_FIXTURE(backend_connection_fixture,
                  "early response without a length, connection reset during the upload, is never "
                  "complete") {
    for (const auto reading_delay : reading_delays) {
        for (const auto end : {raw_answer::ending::reset, raw_answer::ending::close}) {
            for (const char* head : {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n"}) {
                for (const char* body : {"", "part"}) {
                    INFO(reading_delay.count(), static_cast<int>(end), head, body);
                    const raw_answer answer{std::string{head} + body, end, true, 0ms, 60ms};
                    const auto received = exchange(answer, long_upload_bytes, reading_delay);
                    CHECK(received.error == forwarding::errc::connection_lost);
                    CHECK_FALSE(received.is_reusable);
                }
            }
        }
    }
}

TEST_CASE_FIXTURE(backend_connection_fixture,
                  "early response without a length, server ends its side before the reset, is "
                  "complete") {
    for (const auto reading_delay : reading_delays) {
        INFO(reading_delay.count());
        const raw_answer answer{"HTTP/1.1 200 OK\r\n\r\nwhole",
                                raw_answer::ending::finish_then_reset, true};
        const auto received = exchange(answer, long_upload_bytes, reading_delay);
        CHECK_FALSE(received.error);
        CHECK(received.status == 200);
        CHECK(received.body == "whole");
        CHECK_FALSE(received.is_reusable);
    }
}

TEST_CASE_FIXTURE(
    backend_connection_fixture,
    "early response with a length or chunks, connection reset after it, is complete") {
    for (const auto reading_delay : reading_delays) {
        for (const char* framed : {"Content-Length: 5\r\n\r\nwhole",
                                   "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"}) {
            INFO(reading_delay.count(), framed);
            const raw_answer answer{std::string{"HTTP/1.1 413 X\r\n"} + framed,
                                    raw_answer::ending::reset, true, 0ms, 60ms};
            const auto received = exchange(answer, long_upload_bytes, reading_delay);
            CHECK_FALSE(received.error);
            CHECK(received.status == 413);
            CHECK(received.body == "whole");
            CHECK_FALSE(received.is_reusable);
        }
    }
}

TEST_CASE_FIXTURE(backend_connection_fixture,
                  "early response with a length or chunks, reset within it, is never complete") {
    for (const auto reading_delay : reading_delays) {
        for (const char* framed : {"Content-Length: 5\r\n\r\nwhol",
                                   "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"}) {
            INFO(reading_delay.count(), framed);
            const raw_answer answer{std::string{"HTTP/1.1 200 OK\r\n"} + framed,
                                    raw_answer::ending::reset, true, 0ms, 60ms};
            CHECK(exchange(answer, long_upload_bytes, reading_delay).error ==
                  forwarding::errc::connection_lost);
        }
    }
}
