#include "src/http/client.hpp"

#include "src/http/error.hpp"
#include "src/http/internal/body.hpp"
#include "src/http/internal/library.hpp"

#include <array>
#include <civetweb.h>
#include <strings.h>

namespace cicadahatch::http {

namespace {

constexpr std::size_t error_text_bytes = 256;

std::string render(const request& sent, const std::string& host) {
    std::string text = sent.method + " " + sent.path;
    if (!sent.query.empty()) {
        text += "?" + sent.query;
    }
    text += " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const header& entry : sent.headers) {
        text += entry.name + ": " + entry.value + "\r\n";
    }
    const bool has_body = !sent.body.empty() || sent.method == "POST" || sent.method == "PUT";
    if (has_body) {
        text += "Content-Length: " + std::to_string(sent.body.size()) + "\r\n";
    }
    text += "\r\n";
    text += sent.body;
    return text;
}

response copy_head(const mg_response_info& info) {
    response head;
    head.status = info.status_code;
    for (int index = 0; index < info.num_headers; ++index) {
        const mg_header& entry = info.http_headers[index];
        head.headers.push_back({entry.name, entry.value});
    }
    return head;
}

bool is_chunked(const response& head) {
    return find_header(head.headers, "Transfer-Encoding") != nullptr;
}

bool keeps_open(const response& head, long long announced) {
    const std::string* connection = find_header(head.headers, "Connection");
    const bool is_closing = connection != nullptr && strcasecmp(connection->c_str(), "close") == 0;
    return !is_closing && (announced >= 0 || is_chunked(head));
}

} // namespace

header no_interim() {
    return {"Prefer", std::string{prefer_no_interim}};
}

void client_connection::closer::operator()(mg_connection* connection) const noexcept {
    mg_close_connection(connection);
}

result<client_connection> client_connection::open(const endpoint& place, const client_tls& tls) {
    internal::ensure_library();
    std::array<char, error_text_bytes> text{};
    client_connection opened;
    if (tls.server_ca.empty()) {
        opened.connection_.reset(
            mg_connect_client(place.host.c_str(), place.port, 0, text.data(), text.size()));
    } else {
        mg_client_options options{};
        options.host = place.host.c_str();
        options.port = place.port;
        options.client_cert = tls.certificate.empty() ? nullptr : tls.certificate.c_str();
        options.server_cert = tls.server_ca.c_str();
        opened.connection_.reset(mg_connect_client_secure(&options, text.data(), text.size()));
    }
    if (!opened.connection_) {
        return failure(errc::connect_failed);
    }
    opened.host_ = to_string(place);
    return opened;
}

result<response> client_connection::call_for_head(const request& sent,
                                                  std::chrono::milliseconds timeout) {
    const std::string text = render(sent, host_);
    const int written = mg_write(connection_.get(), text.data(), text.size());
    if (written != static_cast<int>(text.size())) {
        return failure(errc::send_failed);
    }
    std::array<char, error_text_bytes> error{};
    const int wait = static_cast<int>(timeout.count());
    if (mg_get_response(connection_.get(), error.data(), error.size(), wait) < 0) {
        return failure(errc::response_timeout);
    }
    return copy_head(*mg_get_response_info(connection_.get()));
}

result<response> client_connection::call(const request& sent, std::chrono::milliseconds timeout,
                                         std::size_t max_body_bytes) {
    auto head = call_for_head(sent, timeout);
    if (!head) {
        return head;
    }
    const long long announced = mg_get_response_info(connection_.get())->content_length;
    auto body = internal::read_body(connection_.get(), announced, max_body_bytes);
    if (!body) {
        return failure(errc::response_broken);
    }
    is_reusable_ = keeps_open(*head, announced);
    head->body = std::move(*body);
    return head;
}

result<response> call(const endpoint& place, const request& sent,
                      std::chrono::milliseconds timeout) {
    auto connection = client_connection::open(place);
    if (!connection) {
        return tl::unexpected(connection.error());
    }
    return connection->call(sent, timeout);
}

} // namespace cicadahatch::http
