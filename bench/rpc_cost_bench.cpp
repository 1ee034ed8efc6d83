// Prints bytes and processor time of the five messages in the life of one request, by codec and
// carrier: rpc_cost_bench

#include "cicadahatch/http"
#include "cicadahatch/rpc"
#include "src/rpc/internal/batch_json.hpp"
#include "src/rpc/json_rpc.hpp"

#include <atomic>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::rpc;

constexpr int rounds = 500;

double cpu_microseconds() {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) * 1e6 + static_cast<double>(used.tv_nsec) / 1e3;
}

batch one_request() {
    const request_id request{"3f2a9c1e77b04d55"};
    const attempt_number attempt{1};
    const cell_id cell{"mrs-1/7"};
    return {123456,
            {acquire{request,
                     attempt,
                     cell,
                     service_id{"pattern-notes"},
                     model_id{"pattern-8b"},
                     team_id{"die-cutters"},
                     rank::urgent,
                     12'000,
                     0,
                     300,
                     400us,
                     730ms,
                     43ms,
                     60s,
                     {1, 2, 3, 4},
                     {}},
             granted{request, attempt, cell, 99'812, backend_id{"prefill-0412"},
                     backend_id{"decode-0088"}, 4'096, 95, 312ms, 31ms},
             prefill_finished{request, attempt, cell, 4'096, 280ms},
             first_token{request, attempt, cell, 340ms},
             release{request, attempt, cell, release_outcome::completed, 287, 32ms}}};
}

template <class Work>
double time_of(Work work) {
    const double begin = cpu_microseconds();
    for (int round = 0; round < rounds; ++round) {
        work();
    }
    return (cpu_microseconds() - begin) / rounds;
}

std::vector<json_rpc_call> calls_of(const batch& sent) {
    std::vector<json_rpc_call> calls;
    for (const message& entry : sent.messages) {
        calls.push_back({"m", nlohmann::json{{"f", internal::message_json(entry)}}.dump()});
    }
    return calls;
}

/// Bytes of a POST and its answer on a kept connection, as our client and server write them.
std::size_t http_head_bytes() {
    const std::string request = "POST /jsonrpc HTTP/1.1\r\nHost: 10.0.0.1:7400\r\n"
                                "Content-Type: application/json\r\nContent-Length: 1000\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                               "Content-Length: 100\r\nConnection: keep-alive\r\n\r\n";
    return request.size() + answer.size();
}

void print(const char* name, std::size_t bytes, std::size_t heads, double microseconds) {
    std::printf("%-42s %9.0f %9.0f %9.1f\n", name, static_cast<double>(bytes) / 5,
                static_cast<double>(bytes + heads) / 5, microseconds / 5);
}

void measure_json_rpc(const batch& sent) {
    json_rpc_dispatcher dispatcher;
    dispatcher.add("m", [](const std::string&) { return std::string{"true"}; });
    std::size_t bytes = 0;
    const json_rpc_transport transport = [&](const std::string& request) {
        std::string answer = dispatcher.handle(request);
        bytes += request.size() + answer.size();
        return answer;
    };
    const auto calls = calls_of(sent);
    const double single = time_of([&] {
        for (const json_rpc_call& entry : calls) {
            call_json_rpc({entry}, transport);
        }
    });
    print("JSON-RPC, a call a message, HTTP", bytes / rounds, 5 * http_head_bytes(), single);
    bytes = 0;
    const double batched = time_of([&] { call_json_rpc(calls, transport); });
    print("JSON-RPC, batch of five, HTTP", bytes / rounds, http_head_bytes(), batched);
    print("JSON-RPC, batch of five, WebSocket", bytes / rounds, 12, batched);
}

void measure_binary(const batch& sent) {
    const std::vector<std::uint8_t> cbor = nlohmann::json::to_cbor(internal::batch_json(sent));
    const double cbor_time = time_of([&] {
        const auto bytes = nlohmann::json::to_cbor(internal::batch_json(sent));
        const nlohmann::json decoded = nlohmann::json::from_cbor(bytes);
        return decoded.size();
    });
    print("CBOR, batch of five, HTTP", cbor.size(), http_head_bytes(), cbor_time);
    const std::string packed = encode_batch(sent);
    const double packed_time =
        time_of([&] { static_cast<void>(decode_batch(encode_batch(sent))); });
    const std::size_t in_json_rpc = packed.size() * 4 / 3 + 65;
    print("MessagePack in one JSON-RPC parameter, HTTP", in_json_rpc, http_head_bytes(),
          packed_time);
    print("MessagePack, batch of five, HTTP", packed.size(), http_head_bytes(), packed_time);
    print("MessagePack, batch of five, WebSocket", packed.size(), 19, packed_time);
    std::size_t singles = 0;
    for (const message& entry : sent.messages) {
        singles += encode_batch({sent.sequence, {entry}}).size();
    }
    print("MessagePack, a batch a message, WebSocket", singles, std::size_t{5} * 17, packed_time);
}

void measure_carriers(const batch& sent) {
    std::atomic<std::uint64_t> taken{0};
    const auto server = peer_server_builder{}
                            .listen_on({"127.0.0.1", 0})
                            .owned_by(daemon_id{"home"})
                            .secret("s")
                            .threads(2)
                            .handle_with([&](const delivery&) { ++taken; })
                            .build()
                            .value();
    const auto link = peer_link_builder{}
                          .from(daemon_id{"entry"}, incarnation{1})
                          .to(daemon_id{"home"}, server->place())
                          .secret("s")
                          .flush_delays(0ms, 0ms)
                          .build();
    std::uint64_t sent_count = 0;
    const double path = time_of([&] {
        static_cast<void>(link->send(sent.messages[2]));
        ++sent_count;
        while (taken.load() < sent_count) {
            std::this_thread::sleep_for(50us);
        }
    });
    std::printf("%-42s %29.1f\n", "whole path of a batch, WebSocket", path);
    const auto plain = http::server_builder{}
                           .listen_on({"127.0.0.1", 0})
                           .threads(2)
                           .handle_with([](http::exchange& call) {
                               static_cast<void>(decode_batch(call.request().body));
                               call.respond(http::json_response(http::status_ok, "1"));
                           })
                           .build()
                           .value();
    auto kept = http::client_connection::open(plain->place()).value();
    const double post = time_of([&] {
        const http::request request{"POST", "/", "", {}, encode_batch({1, {sent.messages[2]}})};
        static_cast<void>(kept.call(request, 1s));
    });
    std::printf("%-42s %29.1f\n", "whole path of a batch, HTTP POST", post);
}

} // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): a bench ends by an exception that it does not expect
int main() {
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const batch sent = one_request();
    std::printf("%-42s %9s %9s %9s\n", "a message", "bytes", "with head", "CPU us");
    measure_json_rpc(sent);
    measure_binary(sent);
    measure_carriers(sent);
    return 0;
}
