#include "cicadahatch/http"
#include "test/support/raw_caller.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

struct echo_fixture {
    std::unique_ptr<http::server> server;
    http::client_pool pool;

    echo_fixture() {
        server = http::server_builder{}
                     .listen_on({"127.0.0.1", 0})
                     .max_body_bytes(1000)
                     .handle_with([](http::exchange& call) { echo(call); })
                     .build()
                     .value();
    }

    static void echo(http::exchange& call) {
        if (call.request().path == "/stream") {
            call.begin_stream(http::status_ok, {{"Content-Type", "text/event-stream"}});
            call.write("data: one\n\ndata: two\n\n");
            return;
        }
        if (call.request().path == "/slow") {
            call.send_interim();
        }
        call.respond(http::json_response(http::status_ok, call.request().body));
    }
};

} // namespace

TEST_CASE_FIXTURE(echo_fixture, "server, posted body, comes back on a kept connection") {
    for (int turn = 0; turn < 20; ++turn) {
        const std::string body = "turn " + std::to_string(turn);
        const auto answer = pool.call(server->place(), {"POST", "/echo", "", {}, body}, 1s);
        REQUIRE(answer);
        CHECK(answer->body == body);
    }
}

TEST_CASE_FIXTURE(echo_fixture, "server, body over the bound, 413 that tells it did not run") {
    const std::string body(2000, 'x');
    const auto answer = http::call(server->place(), {"POST", "/echo", "", {}, body}, 1s);
    REQUIRE(answer);
    CHECK(answer->status == http::status_too_large);
    CHECK(answer->body.find(R"("execution":"not_run")") != std::string::npos);
}

TEST_CASE_FIXTURE(echo_fixture, "client, asks for no interim response, gets the final one only") {
    const auto answer =
        http::call(server->place(), {"POST", "/slow", "", {http::no_interim()}, "late"}, 1s);
    REQUIRE(answer);
    CHECK(answer->status == http::status_ok);
    CHECK(answer->body == "late");
}

TEST_CASE_FIXTURE(echo_fixture, "server, HTTP/1.1 caller without preference, interim then final") {
    test_support::raw_caller caller{server->place()};
    caller.send("POST /slow HTTP/1.1\r\nContent-Length: 4\r\nConnection: close\r\n\r\nlate");
    const std::string received = caller.receive_all();
    CHECK(received.find("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK") == 0);
}

TEST_CASE_FIXTURE(echo_fixture, "server, HTTP/1.0 caller, no interim response") {
    test_support::raw_caller caller{server->place()};
    caller.send("POST /slow HTTP/1.0\r\nContent-Length: 4\r\n\r\nlate");
    CHECK(caller.receive_all().find("HTTP/1.1 200 OK") == 0);
}

TEST_CASE_FIXTURE(echo_fixture, "response_stream, two events, read line by line to the end") {
    auto stream = http::response_stream::open(server->place(), {"GET", "/stream", "", {}, ""}, 1s);
    REQUIRE(stream);
    CHECK(stream->read_line(100).value() == "data: one");
    CHECK(stream->read_line(100).value().empty());
    CHECK(stream->read_line(100).value() == "data: two");
    CHECK(stream->read_line(100).value().empty());
    CHECK(stream->read_line(100).error() == http::errc::response_broken);
}

TEST_CASE("client, no listener, failure proves that nothing was sent") {
    std::uint16_t closed_port = 0;
    {
        const echo_fixture gone;
        closed_port = gone.server->place().port;
    }
    const auto answer = http::call({"127.0.0.1", closed_port}, {"GET", "/", "", {}, ""}, 1s);
    REQUIRE_FALSE(answer);
    CHECK(http::is_surely_unsent(answer.error()));
}
