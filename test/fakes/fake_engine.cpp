#include "test/fakes/fake_engine/state.hpp"

#include <csignal>
#include <cstdio>
#include <cxxopts.hpp>
#include <pthread.h>

/// \file
/// \brief Stand-in of a backend server: a prefill engine, a decode engine or a plain service.
/// Its protocol is described in docs/BACKENDS.md. Paths below /test/ are for tests only.

namespace {

using cicadahatch::http::exchange;
using cicadahatch::http::json_response;

constexpr const char* default_threads = "256";

fake_engine::options parse(int argc, char** argv) {
    cxxopts::Options described{"fake_engine", "Stand-in of a backend server"};
    auto add = described.add_options();
    add("listen", "host:port", cxxopts::value<std::string>()->default_value("127.0.0.1:0"));
    add("role", "prefill, decode or plain", cxxopts::value<std::string>()->default_value("plain"));
    add("model", "model held", cxxopts::value<std::string>()->default_value("model"));
    add("prefill-rate", "tokens/s", cxxopts::value<double>()->default_value("20000"));
    add("token-interval-ms", "ms", cxxopts::value<int>()->default_value("20"));
    add("kv-retention-ms", "ms", cxxopts::value<int>()->default_value("800"));
    add("plain-delay-ms", "ms", cxxopts::value<int>()->default_value("0"));
    add("slots", "decode slots", cxxopts::value<int>()->default_value("20"));
    add("kv-pieces", "pieces of memory", cxxopts::value<int>()->default_value("4096"));
    add("version", "version of the model", cxxopts::value<std::string>()->default_value(""));
    add("order-ms", "time of an order, ms", cxxopts::value<int>()->default_value("0"));
    add("connection-idle-ms", "silence after which a connection is closed, ms",
        cxxopts::value<int>()->default_value("10000"));
    add("ignores-fencing", "accept old fencing numbers");
    add("threads", "worker threads", cxxopts::value<int>()->default_value(default_threads));
    const auto given = described.parse(argc, argv);
    fake_engine::options chosen;
    chosen.listen = cicadahatch::http::parse_endpoint(given["listen"].as<std::string>()).value();
    chosen.role = given["role"].as<std::string>();
    chosen.model = given["model"].as<std::string>();
    chosen.prefill_tokens_per_second = given["prefill-rate"].as<double>();
    chosen.token_interval = std::chrono::milliseconds{given["token-interval-ms"].as<int>()};
    chosen.kv_retention = std::chrono::milliseconds{given["kv-retention-ms"].as<int>()};
    chosen.plain_delay = std::chrono::milliseconds{given["plain-delay-ms"].as<int>()};
    chosen.version = given["version"].as<std::string>();
    chosen.order_time = std::chrono::milliseconds{given["order-ms"].as<int>()};
    chosen.connection_idle = std::chrono::milliseconds{given["connection-idle-ms"].as<int>()};
    chosen.slots = given["slots"].as<int>();
    chosen.kv_pieces = given["kv-pieces"].as<int>();
    chosen.threads = given["threads"].as<int>();
    chosen.checks_fencing = given.count("ignores-fencing") == 0;
    return chosen;
}

bool is_model_path(const std::string& path) {
    return path.rfind("/v1/", 0) == 0;
}

void wait_while_hanging(fake_engine::state& engine) {
    std::unique_lock lock{engine.mutex};
    engine.changed.wait(lock, [&] { return engine.current_fault != fake_engine::fault::hang; });
}

void route_model(fake_engine::state& engine, exchange& call) {
    const std::string& path = call.request().path;
    if (path == "/v1/prefill") {
        return fake_engine::handle_prefill(engine, call);
    }
    if (path == "/v1/decode") {
        return fake_engine::handle_decode(engine, call);
    }
    if (path == "/v1/cancel") {
        return fake_engine::handle_cancel(engine, call);
    }
    if (path == "/v1/load") {
        return fake_engine::handle_load(engine, call);
    }
    if (path == "/v1/cache_events") {
        return fake_engine::handle_cache_events(engine, call);
    }
    if (path == "/v1/orders") {
        return fake_engine::handle_order(engine, call);
    }
    if (path.rfind("/v1/kv/", 0) == 0) {
        return fake_engine::handle_export(engine, call);
    }
    call.respond(json_response(404, "{}"));
}

void route(fake_engine::state& engine, exchange& call) {
    const std::string& path = call.request().path;
    if (path == "/test/control") {
        return fake_engine::handle_control(engine, call);
    }
    if (path == "/test/record") {
        return fake_engine::handle_record(engine, call);
    }
    wait_while_hanging(engine);
    if (engine.current_fault == fake_engine::fault::refuse) {
        call.respond(json_response(503, R"({"code":"refused","execution":"not_run"})"));
        return;
    }
    if (is_model_path(path)) {
        return route_model(engine, call);
    }
    fake_engine::handle_plain(engine, call);
}

std::uint64_t start_number() {
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

} // namespace

int main(int argc, char** argv) {
    sigset_t ending;
    sigemptyset(&ending);
    sigaddset(&ending, SIGTERM);
    sigaddset(&ending, SIGINT);
    pthread_sigmask(SIG_BLOCK, &ending, nullptr);
    fake_engine::state engine;
    engine.configured = parse(argc, argv);
    engine.incarnation = start_number();
    auto server = cicadahatch::http::server_builder{}
                      .listen_on(engine.configured.listen)
                      .receive_timeout(engine.configured.connection_idle)
                      .threads(engine.configured.threads)
                      .handle_with([&](exchange& call) { route(engine, call); })
                      .build();
    if (!server) {
        std::fprintf(stderr, "fake_engine: %s\n", server.error().message().c_str());
        return 1;
    }
    engine.place = (*server)->place();
    std::printf("ready %s\n", to_string(engine.place).c_str());
    std::fflush(stdout);
    int received = 0;
    sigwait(&ending, &received);
    std::_Exit(0);
}
