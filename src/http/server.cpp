#include "src/http/server.hpp"

#include "src/core/macros.hpp"
#include "src/core/system_clock.hpp"
#include "src/http/client.hpp"
#include "src/http/error.hpp"
#include "src/http/internal/body.hpp"
#include "src/http/internal/connection_watch.hpp"
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

/// Counts one more for as long as it lives.
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

int status_of(const std::error_code& error) {
    if (error == errc::body_too_large) {
        return status_too_large;
    }
    return error == errc::body_late ? status_request_timeout : status_bad_request;
}

std::string code_of(const std::error_code& error) {
    if (error == errc::body_too_large) {
        return "body_too_large";
    }
    return error == errc::body_late ? "body_late" : "body_truncated";
}

void refuse_body(exchange& refused, const std::error_code& error) {
    const int status = status_of(error);
    const std::string code = code_of(error);
    response answer =
        json_response(status, R"({"title":")" + code + R"(","code":")" + code + R"(","status":)" +
                                  std::to_string(status) + R"(,"execution":"not_run"})");
    answer.headers.front().value = "application/problem+json";
    answer.headers.push_back({"Connection", "close"});
    refused.respond(answer);
}

internal::connection_watch& watch_of(const mg_connection* connection) {
    return *static_cast<internal::connection_watch*>(mg_get_user_data(mg_get_context(connection)));
}

int on_open(const mg_connection* connection, void** user_data) {
    static_cast<void>(user_data);
    watch_of(connection).open(connection);
    return 0;
}

int on_head(mg_connection* connection) {
    constexpr int go_on = 0;
    watch_of(connection).enter(connection, internal::connection_phase::running);
    return go_on;
}

void on_answered(const mg_connection* connection, int status) {
    static_cast<void>(status);
    watch_of(connection).enter(connection, internal::connection_phase::head);
}

void on_close(const mg_connection* connection) {
    watch_of(connection).close(connection);
}

mg_callbacks watch_callbacks() {
    mg_callbacks callbacks{};
    callbacks.init_connection = on_open;
    callbacks.begin_request = on_head;
    callbacks.end_request = on_answered;
    callbacks.connection_close = on_close;
    return callbacks;
}

const clock& default_clock() {
    static const system_clock instance;
    return instance;
}

} // namespace

server::server() = default;

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
    owner.answer(connection, copy_head(*mg_get_request_info(connection)));
    return status_ok;
}

void server::answer(mg_connection* connection, request received) {
    const char* version = mg_get_request_info(connection)->http_version;
    const bool is_http_1_1 = std::strcmp(version, "1.1") == 0;
    if (has_body(received)) {
        auto body = receive_body(connection);
        if (!body) {
            exchange refused{connection, std::move(received), is_http_1_1};
            mg_disable_connection_keep_alive(connection);
            return refuse_body(refused, body.error());
        }
        received.body = std::move(*body);
    }
    const active_guard guard{running_};
    exchange running{connection, std::move(received), is_http_1_1};
    handler_(running);
    CICADAHATCH_ASSERT(running.has_begun(), handler_answers_every_request);
}

result<std::string> server::receive_body(mg_connection* connection) {
    const long long announced = mg_get_request_info(connection)->content_length;
    watch_->enter(connection, internal::connection_phase::body);
    auto body = internal::read_body(connection, announced, max_body_bytes_,
                                    [&] { return watch_->is_late(connection); });
    watch_->enter(connection, internal::connection_phase::running);
    return body;
}

server_builder::server_builder() : time_(&default_clock()) {}

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

server_builder& server_builder::reserved_workers(int count) {
    reserved_workers_ = count;
    return *this;
}

server_builder& server_builder::time(const clock& source) {
    time_ = &source;
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
        options.insert(options.end(), {"ssl_certificate", tls_.certificate.c_str(),
                                       "ssl_protocol_version", internal::tls_1_2_or_later});
    }
    if (is_tls && !tls_.peer_ca.empty()) {
        options.insert(options.end(),
                       {"ssl_verify_peer", "yes", "ssl_ca_file", tls_.peer_ca.c_str(),
                        "ssl_default_verify_paths", internal::no_system_authorities});
    }
    options.push_back(nullptr);
    std::unique_ptr<server> built{new server};
    built->handler_ = handler_;
    built->max_body_bytes_ = max_body_bytes_;
    built->threads_ = threads_;
    const internal::connection_limits limits{receive_timeout_, threads_, reserved_workers_};
    built->watch_ = std::make_unique<internal::connection_watch>(limits, *time_);
    const mg_callbacks callbacks = watch_callbacks();
    built->context_ = mg_start(&callbacks, built->watch_.get(), options.data());
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
