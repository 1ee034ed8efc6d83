#include "src/forwarding/caller_connection.hpp"

#include "cicadahatch/core"
#include "platform/binding.hpp"

#include <array>
#include <doctest/doctest.h>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
namespace asio = forwarding::asio;
using forwarding::tcp;

constexpr std::chrono::milliseconds route_timeout = 200ms;
constexpr const char* request_head =
    " /x HTTP/1.1\r\nHost: t.example\r\nX-Cicadahatch-Attempt-Id: q1\r\n";
constexpr const char* response_head =
    "X-Cicadahatch-Attempt-Id: q1\r\nX-Cicadahatch-Server-Signature: s\r\n";

routing::configuration make_configuration(routing::request_kind kind) {
    routing::configuration made;
    made.version = 1;
    routing::route route;
    route.name = "r";
    route.host = "t.example";
    route.path_prefix = "/";
    route.kind = kind;
    route.timeout = route_timeout;
    route.services = {{service_id{"shop"}}};
    made.routes = {route};
    made.services = {{service_id{"shop"}, 0, std::nullopt}};
    return made;
}

/// A caller and a backend server, both served by the test's thread, so that the test decides when
/// the event loop of the gateway runs.
struct stalled_gateway_fixture {
    system_clock time;
    asio::io_context loop{1};
    asio::io_context outside{1}; ///< of the caller and the server; blocking calls only
    tcp::acceptor server{outside, {asio::ip::address_v4::loopback(), 0}};
    tcp::acceptor callers{outside, {asio::ip::address_v4::loopback(), 0}};
    tcp::socket caller{outside};
    tcp::socket exchange{outside}; ///< the server's side of the gateway's connection
    std::string log_lines;
    forwarding::wire_protocol wire = platform::binding().wire;
    logging::event_log log{time, "d1", {}, [this](std::string_view line) {
                               log_lines.append(line);
                               return true;
                           }};
    metrics::registry metric_registry;
    metrics::request_recorder recorder{time};
    forwarding::gateway_state state{loop, time, time, wire, log, metric_registry, recorder, {}, {}};

    stalled_gateway_fixture() {
        discovery::backend registration;
        registration.id = backend_id{"shop-1"};
        registration.service = service_id{"shop"};
        registration.address = {"127.0.0.1", server.local_endpoint().port()};
        registration.slots = 4;
        std::vector<discovery::directory_change> changes;
        state.backends.upsert(registration, changes);
        caller.connect(callers.local_endpoint());
        auto accepted = std::make_shared<forwarding::caller_connection>(
            state, tcp::socket{loop, tcp::v4(), callers.accept().release()});
        asio::co_spawn(
            loop, [accepted] { return accepted->serve(); }, asio::detached);
    }

    /// Sends a request and runs the gateway until the server has received it.
    void start_request(routing::request_kind kind, const std::string& method) {
        state.table = std::make_shared<const routing::route_table>(make_configuration(kind));
        asio::write(caller, asio::buffer(method + request_head + "\r\n"));
        server.non_blocking(true);
        exchange.close();
        const auto is_accepted = [this] {
            forwarding::net_error error;
            server.accept(exchange, error);
            return !error;
        };
        REQUIRE(run_until(is_accepted));
        REQUIRE(run_until([this] { return exchange.available() > 0; }));
    }
    bool run_until(const std::function<bool()>& holds) {
        const auto until = std::chrono::steady_clock::now() + 5s;
        bool is_held = holds();
        while (!is_held && std::chrono::steady_clock::now() < until) {
            loop.run_one_for(1ms);
            is_held = holds();
        }
        return is_held;
    }
    /// The server responds while the gateway stands still until the request has timed out.
    void respond_during_stall(const std::string& response) {
        asio::write(exchange, asio::buffer(response));
        std::this_thread::sleep_for(route_timeout + 50ms);
    }
    /// Runs the gateway until the caller has received a response.
    [[nodiscard]] std::string receive() {
        REQUIRE(run_until([this] { return caller.available() > 0; }));
        std::string received(caller.available(), '\0');
        received.resize(caller.read_some(asio::buffer(received)));
        return received;
    }
    [[nodiscard]] static std::string whole_response(unsigned status) {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + response_head +
               "Content-Length: 5\r\n\r\nwhole";
    }
};

} // namespace

TEST_CASE_FIXTURE(stalled_gateway_fixture,
                  "non-idempotent request, response and timeout due in the same loop iteration, "
                  "is not reported as not executed") {
    for (const unsigned status : {200U, 500U}) {
        start_request(routing::request_kind::non_idempotent, "POST");
        respond_during_stall(whole_response(status));
        const std::string received = receive();
        INFO(log_lines);
        CHECK(received.starts_with("HTTP/1.1 " + std::to_string(status)));
        CHECK(received.ends_with("whole"));
    }
}

TEST_CASE_FIXTURE(
    stalled_gateway_fixture,
    "idempotent request, response and timeout due in the same loop iteration, is answered") {
    start_request(routing::request_kind::idempotent, "GET");
    respond_during_stall(whole_response(200));
    CHECK(receive().starts_with("HTTP/1.1 200"));
}

TEST_CASE_FIXTURE(stalled_gateway_fixture,
                  "non-idempotent request, response incomplete at the timeout, gets 504") {
    start_request(routing::request_kind::non_idempotent, "POST");
    const std::string whole = whole_response(200);
    respond_during_stall(whole.substr(0, whole.size() - 1));
    CHECK(receive().starts_with("HTTP/1.1 504"));
}

TEST_CASE_FIXTURE(stalled_gateway_fixture,
                  "non-idempotent request, server has not executed it and the timeout passes, is "
                  "reported as not executed") {
    start_request(routing::request_kind::non_idempotent, "POST");
    respond_during_stall(std::string{"HTTP/1.1 503 X\r\nX-Cicadahatch-Not-Executed: 1\r\n"} +
                         response_head + "Content-Length: 4\r\n\r\nfull");
    const std::string received = receive();
    CHECK(received.starts_with("HTTP/1.1 503"));
    CHECK(received.find("Retry-After: ") != std::string::npos);
}

TEST_CASE_FIXTURE(stalled_gateway_fixture,
                  "non-idempotent request, caller leaves while the response is on its way, ends as "
                  "not delivered") {
    start_request(routing::request_kind::non_idempotent, "POST");
    caller.close();
    respond_during_stall(whole_response(200));
    REQUIRE(run_until([this] { return log_lines.find("request.end") != std::string::npos; }));
    CHECK(log_lines.find("\"status\":503") == std::string::npos);
}
