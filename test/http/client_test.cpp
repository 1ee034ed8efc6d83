#include "cicadahatch/http"
#include "test/support/raw_server.hpp"

#include <doctest/doctest.h>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace std::string_literals;
using namespace cicadahatch;
using test_support::join;
using test_support::raw_answer;
using test_support::raw_server;
using ending = raw_answer::ending;

/// More than the socket buffers of both sides hold.
constexpr std::size_t long_upload_bytes = 64UL * 1024 * 1024;

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string closing = "Connection: close\r\n";
const std::string counted = "Content-Length: 5\r\n\r\nwhole";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";

struct client_fixture {
    raw_answer answer;
    raw_server server{[this](const std::string&) { return answer; }};

    [[nodiscard]] result<http::response> call(std::size_t upload_bytes = 1) const {
        return http::call(server.place(), {"POST", "/x", "", {}, std::string(upload_bytes, 'u')},
                          5s);
    }
    /// \returns the body of a complete response with status 200, or the error's name
    [[nodiscard]] std::string body(std::size_t upload_bytes = 1) const {
        const auto received = call(upload_bytes);
        if (!received) {
            return "error: " + received.error().message();
        }
        return received->status == http::status_ok ? received->body : "another status";
    }
    /// The server answers with these bytes, which no caller may take for a response.
    /// \param parts of the bytes
    void check_rejected(std::initializer_list<std::string_view> parts) {
        const std::string bytes = join(parts);
        INFO(bytes);
        answer = {bytes};
        const auto received = call();
        CHECK_FALSE(received);
        CHECK((received || !http::is_surely_unsent(received.error())));
        CHECK_FALSE(http::response_stream::open(server.place(), {"GET", "/x", "", {}, ""}, 5s));
    }
};

} // namespace

TEST_CASE_FIXTURE(client_fixture, "client, complete response, is returned with its body") {
    for (const std::string& framed : {counted, chunked, "\r\nwhole"s}) {
        INFO(framed);
        answer = {join({ok_line, closing, framed})};
        CHECK(body() == "whole");
    }
    answer = {ok_line + closing + "\r\nwhole", ending::close, false, 100ms, 100ms};
    CHECK(body() == "whole");
    answer = {ok_line + closing +
              "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3;x=y\r\nole\r\n0\r\n"
              "X-Trailer: t\r\n\r\n"};
    CHECK(body() == "whole");
}

TEST_CASE_FIXTURE(client_fixture, "client, valid but unusual head, response is returned") {
    for (const char* fields :
         {"!#$%&'*+-.^_`|~9: v\r\n", "x: \r\n", "X-A:v\r\n", "X-A: \t v \t\r\n",
          "X-A: caf\xe9 \"q\" /[]\r\n", "X-A: 1\r\nX-A: 2\r\n"}) {
        INFO(std::string{fields});
        answer = {join({ok_line, closing, fields, counted})};
        CHECK(body() == "whole");
    }
    answer = {"HTTP/1.1 200 \r\n" + closing + counted};
    CHECK(body() == "whole");
    answer = {"HTTP/1.0 200 OK\r\n\r\nwhole"};
    CHECK(body() == "whole");
    answer = {"HTTP/1.1 599 X\r\n" + closing + counted};
    REQUIRE(call());
    CHECK(call()->status == 599);
}

TEST_CASE_FIXTURE(client_fixture, "client, interim responses before the response, are skipped") {
    const std::string interim = "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n";
    answer = {interim + interim + ok_line + closing + counted};
    CHECK(body() == "whole");
}

TEST_CASE_FIXTURE(client_fixture,
                  "client, status of other than three digits from 100 to 599, fails") {
    for (const char* status :
         {"000", "001", "099", "20", "2000", "+20", "-20", "2x0", "20 ", "", "600", "999"}) {
        check_rejected({"HTTP/1.1 ", status, " OK\r\n", closing, counted});
        check_rejected({"HTTP/1.1 ", status, " OK\r\n\r\nwhole"});
    }
}

TEST_CASE_FIXTURE(client_fixture, "client, malformed field line, fails") {
    for (const std::string& line :
         {"X A: v"s,   "X\tA: v"s,  "X\0A: v"s,  "X\x01: v"s, "X\x0b: v"s,
          "X\x1f: v"s, "X\x7f: v"s, "X\xe9: v"s, "X\rA: v"s,  "X\nA: v"s,
          "\"X\": v"s, "X[A: v"s,   "X/A: v"s,   ": v"s,      "no colon"s,
          "X-A : v"s,  "X-A\t: v"s, " X-A: v"s,  "\tX-A: v"s, " Content-Length: 4"s}) {
        check_rejected({ok_line, line, "\r\n", closing, counted});
        check_rejected({ok_line, closing, line, "\r\n", counted});
        check_rejected({ok_line, closing, "Content-Length: 5\r\n", line, "\r\n\r\nwhole"});
    }
}

TEST_CASE_FIXTURE(client_fixture, "client, ambiguous framing, fails") {
    check_rejected({ok_line, closing, "Content-Length : 4\r\n\r\nwhole"});
    check_rejected({ok_line, closing, "Content-Length: 4\r\n", counted});
    check_rejected({ok_line, closing, "Content-Length: 5\r\nContent-Length: 4\r\n\r\nwhole"});
    check_rejected({ok_line, closing, "Content-Length: 5x\r\n\r\nwhole"});
    check_rejected({ok_line, closing, "Content-Length: -5\r\n\r\nwhole"});
    check_rejected({ok_line, closing, "Content-Length: 5\r\n", chunked});
    check_rejected({ok_line, closing, "Transfer-Encoding: gzip\r\n\r\nwhole"});
    check_rejected(
        {ok_line, closing, "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"});
}

TEST_CASE_FIXTURE(client_fixture, "client, response that ends early, fails") {
    for (const auto end : {ending::close, ending::reset}) {
        INFO(static_cast<int>(end));
        for (const char* bytes :
             {"", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nX-A: b\r\n",
              "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhol",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"}) {
            INFO(std::string{bytes});
            answer = {bytes, end, false, 0ms, 20ms};
            CHECK_FALSE(call());
        }
    }
    answer = {ok_line + "\r\npart", ending::reset, false, 0ms, 60ms};
    CHECK_FALSE(call());
}

TEST_CASE_FIXTURE(client_fixture, "client, early response without a length is reset, fails") {
    for (const auto end : {ending::close, ending::reset}) {
        INFO(static_cast<int>(end));
        answer = {ok_line + "\r\npart", end, true, 0ms, 60ms};
        CHECK_FALSE(call(long_upload_bytes));
    }
}

TEST_CASE_FIXTURE(client_fixture,
                  "client_pool, response with an ambiguous end, keeps no connection") {
    http::client_pool pool;
    answer = {ok_line + counted + "extra", ending::keep};
    const http::request sent{"GET", "/x", "", {}, ""};
    REQUIRE(pool.call(server.place(), sent, 5s));
    answer = {ok_line + "Content-Length: 4\r\n\r\nnext", ending::keep};
    const auto next = pool.call(server.place(), sent, 5s);
    REQUIRE(next);
    CHECK(next->body == "next");
}

TEST_CASE_FIXTURE(
    client_fixture,
    "client_pool, second copy of a response comes late, is no answer to the next call") {
    http::client_pool pool;
    answer = {ok_line + counted, ending::keep, false, 0ms, 20ms, ok_line + counted};
    const http::request sent{"GET", "/x", "", {}, ""};
    REQUIRE(pool.call(server.place(), sent, 5s));
    std::this_thread::sleep_for(200ms);
    answer = {ok_line + "Content-Length: 4\r\n\r\nnext", ending::keep};
    const auto next = pool.call(server.place(), sent, 5s);
    REQUIRE(next);
    CHECK(next->body == "next");
}

TEST_CASE_FIXTURE(client_fixture, "response_stream, reset between two events, is not at its end") {
    answer = {ok_line + "\r\ndata: one\n\n", ending::reset, false, 0ms, 60ms};
    auto stream = http::response_stream::open(server.place(), {"GET", "/x", "", {}, ""}, 5s);
    REQUIRE(stream);
    const auto one_byte = [](std::string_view) -> std::size_t { return 1; };
    CHECK(stream->read_event(100, one_byte).value() == "data: one");
    CHECK(stream->read_event(100, one_byte).error() == http::errc::response_broken);
}
