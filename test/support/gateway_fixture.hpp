#pragma once

#include "cicadahatch/core"
#include "platform/binding.hpp"
#include "test/support/platform_stub.hpp"
#include "test/support/raw_caller.hpp"
#include "test/support/reserved_port.hpp"

#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <mutex>
#include <thread>

namespace cicadahatch::test_support {

using namespace std::chrono_literals;

/// \returns a loopback endpoint that nobody else is given
inline std::string free_endpoint() {
    return "127.0.0.1:" + std::to_string(reserve_port());
}

inline bool eventually(const std::function<bool()>& holds) {
    const auto until = std::chrono::steady_clock::now() + 5s;
    while (!holds()) {
        if (std::chrono::steady_clock::now() > until) {
            return false;
        }
        std::this_thread::sleep_for(5ms);
    }
    return true;
}

/// Sets the name, the failure domain and free addresses of a gateway before a stub's store.
inline void set_addresses(settings::gateway_settings& configured, const std::string& name,
                          const platform_stub& stub) {
    configured.name = daemon_id{name};
    configured.domain = domain_id{"a"};
    configured.callers = free_endpoint();
    configured.readiness = free_endpoint();
    configured.peers = free_endpoint();
    configured.store.address = http::to_string(stub.store());
}

/// Publishes a configuration and adds a plain server, a prefill engine and a decode engine.
inline void add_sample_services(platform_stub& stub) {
    stub.put("op/config", sample_platform_configuration(1));
    stub.add_engine("shop-1", "shop", "");
    stub.add_engine("p-1", "model", "prefill");
    stub.add_engine("x-1", "model", "decode");
}

/// \returns why a gateway was not built, for the report of a failed test; empty if it was built
inline std::string build_error(const result<std::unique_ptr<gateway::gateway_daemon>>& built) {
    return built ? std::string{} : built.error().message();
}

/// Runs a gateway in this process against a stub of the platform.
struct gateway_fixture {
    using plain_answer = engine_script::plain_answer;

    platform_stub stub;
    system_clock time;
    boot_clock lease_time;
    settings::gateway_settings configured;
    std::unique_ptr<gateway::gateway_daemon> daemon;
    std::thread daemon_thread;
    std::atomic<bool> ended_gracefully{false};
    std::mutex log_mutex;
    std::string log;

    gateway_fixture() : gateway_fixture(settings::gateway_settings{}) {}
    explicit gateway_fixture(const settings::gateway_settings& initial) : configured(initial) {
        add_sample_services(stub);
        start();
    }
    gateway_fixture(const gateway_fixture&) = delete;
    gateway_fixture& operator=(const gateway_fixture&) = delete;
    gateway_fixture(gateway_fixture&&) = delete;
    gateway_fixture& operator=(gateway_fixture&&) = delete;
    ~gateway_fixture() {
        daemon->halt();
        daemon_thread.join();
    }

    void start() {
        set_addresses(configured, "d1", stub);
        configured.bounds.shutdown = 8s;
        configured.bounds.drain = 500ms;
        auto built = gateway::gateway_builder{}
                         .settings(configured)
                         .time(time)
                         .lease_time(lease_time)
                         .platform(platform::binding())
                         .log_output([this](std::string_view line) { return append_log(line); })
                         .build();
        INFO(build_error(built));
        REQUIRE(built);
        daemon = std::move(*built);
        daemon_thread = std::thread([this] { ended_gracefully = daemon->run(); });
        REQUIRE(eventually([this] { return is_ready() && has_logged("home.reached"); }));
        REQUIRE(eventually([this] { return status_of(call("GET", "/plain/warm")) == 200; }));
        REQUIRE(eventually([this] {
            return call("POST", "/stream/warm", stream_head()).find("id: 3") != std::string::npos;
        }));
    }
    bool append_log(std::string_view line) {
        const std::lock_guard lock{log_mutex};
        log.append(line);
        return true;
    }
    [[nodiscard]] bool has_logged(const std::string& text) {
        const std::lock_guard lock{log_mutex};
        return log.find(text) != std::string::npos;
    }
    [[nodiscard]] bool has_logged_after(const std::string& first, const std::string& text) {
        const std::lock_guard lock{log_mutex};
        const std::size_t at = log.rfind(first);
        return at != std::string::npos && log.find(text, at) != std::string::npos;
    }
    [[nodiscard]] bool is_ready() const {
        const raw_caller asks{http::parse_endpoint(configured.readiness).value()};
        asks.send("GET /cicadahatch/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
        return asks.receive_all().starts_with("HTTP/1.1 200");
    }
    [[nodiscard]] http::endpoint callers() const {
        return http::parse_endpoint(configured.callers).value();
    }
    static std::string stream_head() {
        return "X-Cicadahatch-Token-Usage: 100,80\r\nX-Cicadahatch-Prompt-Prefix: a:100\r\n";
    }
    static std::string request(const std::string& method, const std::string& target,
                               const std::string& extra_fields = {}, const std::string& body = {}) {
        static std::atomic<int> next{0};
        const std::string id = "q" + std::to_string(++next);
        return method + " " + target +
               " HTTP/1.1\r\nHost: t.example\r\nX-Cicadahatch-Attempt-Id: " + id +
               "\r\nX-Cicadahatch-Deadline-Ms: 5000\r\n" + extra_fields +
               (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
               "\r\n" + body;
    }
    /// Sends one request on a new connection and reads until it closes.
    [[nodiscard]] std::string call(const std::string& method, const std::string& target,
                                   const std::string& extra_fields = {},
                                   const std::string& body = {}) const {
        return send_bytes(request(method, target, "Connection: close\r\n" + extra_fields, body));
    }
    [[nodiscard]] std::string send_bytes(const std::string& bytes) const {
        const raw_caller caller{callers()};
        caller.send(bytes);
        return caller.receive_all();
    }
    static int status_of(const std::string& answer) {
        return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
    }
    void script(const std::string& engine, plain_answer answer) {
        engine_script made;
        made.plain = answer;
        stub.set_script(engine, made);
    }
    [[nodiscard]] std::size_t executions(const std::string& engine) const {
        return stub.count(engine, "/plain/x") + stub.count(engine, "/book/x");
    }
};

} // namespace cicadahatch::test_support
