#include "src/http/server.hpp"

#include "src/core/macros.hpp"
#include "src/http/client.hpp"
#include "src/http/error.hpp"
#include "src/http/internal/body.hpp"
#include "src/http/internal/library.hpp"

#include <array>
#include <civetweb.h>
#include <cstring>
#include <thread>
#include <vector>

namespace cicadahatch::http {

namespace {

constexpr const char* tls_suffix = "s";

header_list copy_headers(const mg_request_info& info) {
    header_list headers;
    for (int index = 0; index < info.num_headers; ++index) {
        const mg_header& entry = info.http_headers[index];
        headers.push_back({entry.name, entry.value});
    }
    return headers;
}

request copy_head(const mg_request_info& info) {
    request copied;
    copied.method = info.request_method;
    copied.path = info.local_uri == nullptr ? "" : info.local_uri;
    copied.query = info.query_string == nullptr ? "" : info.query_string;
    copied.headers = copy_headers(info);
    return copied;
}

bool has_body(const request& head) {
    return find_header(head.headers, "Content-Length") != nullptr ||
           find_header(head.headers, "Transfer-Encoding") != nullptr;
}

/// Counts a running handler for as long as it lives.
class active_guard {
public:
    explicit active_guard(std::atomic<int>& count) : count_(count) { ++count_; }
    active_guard(const active_guard&) = delete;
    active_guard& operator=(const active_guard&) = delete;
    active_guard(active_guard&&) = delete;
    active_guard& operator=(active_guard&&) = delete;
    ~active_guard() { --count_; }

private:
    std::atomic<int>& count_;
};

void refuse_body(exchange& refused, const std::error_code& error) {
    const bool is_too_large = error == errc::body_too_large;
    const int status = is_too_large ? status_too_large : status_bad_request;
    const std::string code = is_too_large ? "body_too_large" : "body_truncated";
    response answer =
        json_response(status, R"({"title":")" + code + R"(","code":")" + code + R"(","status":)" +
                                  std::to_string(status) + R"(,"execution":"not_run"})");
    answer.headers.front().value = "application/problem+json";
    answer.headers.push_back({"Connection", "close"});
    refused.respond(answer);
}

} // namespace

server::~server() {
    if (context_ == nullptr) {
        return;
    }
    // The accepting thread looks at the stop flag only every two seconds, unless a caller comes.
    std::thread waker{[this] {
        constexpr std::chrono::milliseconds until_flag_is_set{20};
        std::this_thread::sleep_for(until_flag_is_set);
        static_cast<void>(client_connection::open(place_));
    }};
    mg_stop(context_);
    waker.join();
}

int server::dispatch(mg_connection* connection, void* self) {
    auto& owner = *static_cast<server*>(self);
    const active_guard guard{owner.active_};
    const mg_request_info& info = *mg_get_request_info(connection);
    const bool is_http_1_1 = std::strcmp(info.http_version, "1.1") == 0;
    request received = copy_head(info);
    if (has_body(received)) {
        auto body = internal::read_body(connection, info.content_length, owner.max_body_bytes_);
        if (!body) {
            exchange refused{connection, std::move(received), is_http_1_1};
            mg_disable_connection_keep_alive(connection);
            refuse_body(refused, body.error());
            return status_bad_request;
        }
        received.body = std::move(*body);
    }
    exchange running{connection, std::move(received), is_http_1_1};
    owner.handler_(running);
    CICADAHATCH_ASSERT(running.has_begun(), handler_answers_every_request);
    return status_ok;
}

server_builder& server_builder::listen_on(endpoint place) {
    place_ = std::move(place);
    return *this;
}

server_builder& server_builder::handle_with(handler called) {
    handler_ = std::move(called);
    return *this;
}

server_builder& server_builder::threads(int count) {
    threads_ = count;
    return *this;
}

server_builder& server_builder::max_body_bytes(std::size_t bytes) {
    max_body_bytes_ = bytes;
    return *this;
}

server_builder& server_builder::receive_timeout(std::chrono::milliseconds timeout) {
    receive_timeout_ = timeout;
    return *this;
}

server_builder& server_builder::keep_alive(std::chrono::milliseconds timeout) {
    keep_alive_ = timeout;
    return *this;
}

server_builder& server_builder::tls(tls_files files) {
    tls_ = std::move(files);
    return *this;
}

result<std::unique_ptr<server>> server_builder::build() {
    CICADAHATCH_ASSERT(handler_ != nullptr, server_has_a_handler);
    internal::ensure_library();
    const bool is_tls = !tls_.certificate.empty();
    const std::string port = to_string(place_) + (is_tls ? tls_suffix : "");
    const std::string threads = std::to_string(threads_);
    const std::string timeout = std::to_string(receive_timeout_.count());
    const std::string kept = std::to_string(keep_alive_.count());
    std::vector<const char*> options = {
        "listening_ports",   port.c_str(), "num_threads",           threads.c_str(),
        "tcp_nodelay",       "1",          "request_timeout_ms",    timeout.c_str(),
        "enable_keep_alive", "yes",        "keep_alive_timeout_ms", kept.c_str()};
    if (is_tls) {
        options.insert(options.end(), {"ssl_certificate", tls_.certificate.c_str()});
    }
    if (is_tls && !tls_.peer_ca.empty()) {
        options.insert(options.end(),
                       {"ssl_verify_peer", "yes", "ssl_ca_file", tls_.peer_ca.c_str()});
    }
    options.push_back(nullptr);
    std::unique_ptr<server> built{new server};
    built->handler_ = handler_;
    built->max_body_bytes_ = max_body_bytes_;
    built->threads_ = threads_;
    const mg_callbacks callbacks{};
    built->context_ = mg_start(&callbacks, nullptr, options.data());
    if (built->context_ == nullptr) {
        return failure(errc::server_not_started);
    }
    mg_server_port opened{};
    mg_get_server_ports(built->context_, 1, &opened);
    built->place_ = {place_.host, static_cast<std::uint16_t>(opened.port)};
    mg_set_request_handler(built->context_, "**", server::dispatch, built.get());
    return built;
}

} // namespace cicadahatch::http
