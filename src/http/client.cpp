#include "src/http/client.hpp"

#include "src/http/error.hpp"
#include "src/http/idle_connection.hpp"
#include "src/http/internal/blocking_stream.hpp"
#include "src/http/response_head.hpp"
#include "src/http/truncation.hpp"

#include <array>
#include <boost/asio/ssl.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <optional>
#include <variant>

namespace cicadahatch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

using boost::system::error_code;
using internal::blocking_stream;
using tls_stream = asio::ssl::stream<blocking_stream>;
using response_parser = beast::http::response_parser<beast::http::buffer_body>;
using steady = std::chrono::steady_clock;

/// Bytes of a response read at once.
constexpr std::size_t read_bytes = 16UL * 1024;

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

response copy_head(const response_parser& parser) {
    response head;
    head.status = static_cast<int>(parser.get().result_int());
    for (const auto& entry : parser.get()) {
        head.headers.push_back({std::string{entry.name_string()}, std::string{entry.value()}});
    }
    return head;
}

/// \returns the settings of a client, or an error of a file
asio::ssl::context make_tls_context(const client_tls& tls, error_code& error) {
    asio::ssl::context context{asio::ssl::context::tls_client};
    context.set_verify_mode(asio::ssl::verify_peer, error);
    if (!error) {
        context.load_verify_file(tls.server_ca, error);
    }
    if (!error && !tls.certificate.empty()) {
        context.use_certificate_chain_file(tls.certificate, error);
    }
    if (!error && !tls.certificate.empty()) {
        context.use_private_key_file(tls.certificate, asio::ssl::context::pem, error);
    }
    return context;
}

} // namespace

header no_interim() {
    return {"Prefer", std::string{prefer_no_interim}};
}

struct client_connection::connection {
    /// Connects; in case of an error, the connection is not open.
    error_code open(const endpoint& place, const client_tls& tls);
    [[nodiscard]] blocking_stream& transport();
    [[nodiscard]] error_code write(std::string_view bytes);
    [[nodiscard]] error_code read_next_head();

    template <class Operation>
    auto with_stream(Operation operation) {
        return std::visit(operation, stream);
    }

    std::string host;
    std::variant<blocking_stream, tls_stream> stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    std::optional<response_parser> parser;
    bool is_head_request = false;
    error_code write_error; ///< of the last request
    bool is_broken = false; ///< a read has failed
};

error_code client_connection::connection::open(const endpoint& place, const client_tls& tls) {
    host = to_string(place);
    error_code error;
    const auto address = asio::ip::make_address(place.host, error);
    if (!error && !tls.server_ca.empty()) {
        // The stream keeps the context's settings.
        asio::ssl::context context = make_tls_context(tls, error);
        stream.emplace<tls_stream>(blocking_stream{}, context);
    }
    if (error) {
        return error;
    }
    blocking_stream& lowest = transport();
    lowest.expires_at(steady::now() + connect_timeout);
    lowest.connect({address, place.port}, error);
    if (error) {
        return error;
    }
    error_code ignored; // Only a delay: the connection works without the option.
    lowest.lowest_layer().set_option(asio::ip::tcp::no_delay(true), ignored);
    if (auto* secured = std::get_if<tls_stream>(&stream)) {
        secured->handshake(asio::ssl::stream_base::client, error);
    }
    return error;
}

blocking_stream& client_connection::connection::transport() {
    auto* secured = std::get_if<tls_stream>(&stream);
    return secured == nullptr ? std::get<blocking_stream>(stream) : secured->next_layer();
}

error_code client_connection::connection::write(std::string_view bytes) {
    transport().expires_at(steady::now() + send_timeout);
    error_code error;
    with_stream([&](auto& open) { asio::write(open, asio::buffer(bytes), error); });
    return error;
}

error_code client_connection::connection::read_next_head() {
    parser.emplace();
    parser->header_limit(max_response_head_bytes);
    // Callers of read_some() bound what they keep.
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser->skip(is_head_request);
    error_code error = parse_response_head(*parser, buffer);
    while (error == beast::http::error::need_more) {
        const auto space = buffer.prepare(beast::read_size(buffer, read_bytes));
        const std::size_t received =
            with_stream([&](auto& open) { return open.read_some(space, error); });
        if (!error) {
            buffer.commit(received);
            error = parse_response_head(*parser, buffer);
        }
    }
    return error;
}

client_connection::client_connection(std::unique_ptr<connection> opened)
    : connection_(std::move(opened)) {}
client_connection::client_connection(client_connection&&) noexcept = default;
client_connection& client_connection::operator=(client_connection&&) noexcept = default;
client_connection::~client_connection() = default;

result<client_connection> client_connection::open(const endpoint& place, const client_tls& tls) {
    auto opened = std::make_unique<connection>();
    if (opened->open(place, tls)) {
        return failure(errc::connect_failed);
    }
    return client_connection{std::move(opened)};
}

result<response> client_connection::call_for_head(const request& sent,
                                                  std::chrono::milliseconds timeout) {
    connection& used = *connection_;
    used.is_head_request = sent.method == "HEAD";
    used.write_error = used.write(render(sent, used.host));
    used.transport().expires_at(steady::now() + timeout);
    // A server may respond before it has read the request, and then stop reading it.
    error_code error = used.read_next_head();
    int interim = 0;
    while (!error && is_interim(used.parser->get().result_int()) &&
           ++interim <= max_interim_responses) {
        error = used.read_next_head();
    }
    const bool is_final = !error && used.parser->get().result_int() >= status_ok;
    if (is_final && !is_truncated(*used.parser, used.write_error)) {
        return copy_head(*used.parser);
    }
    used.is_broken = true;
    if (used.write_error) {
        return failure(errc::send_failed);
    }
    return failure(error == beast::error::timeout ? errc::response_timeout : errc::response_broken);
}

result<std::size_t> client_connection::read_some(char* bytes, std::size_t size) {
    connection& used = *connection_;
    auto& body = used.parser->get().body();
    body.data = bytes;
    body.size = size;
    error_code error;
    while (!error && body.size == size && !used.parser->is_done()) {
        used.transport().expires_at(steady::now() + max_body_silence);
        used.with_stream(
            [&](auto& open) { beast::http::read_some(open, used.buffer, *used.parser, error); });
    }
    if (error && error != beast::http::error::need_buffer) {
        used.is_broken = true;
        return failure(errc::response_broken);
    }
    return size - body.size;
}

result<std::string> client_connection::read_rest(std::size_t max_bytes) {
    std::string body;
    std::array<char, read_bytes> bytes; // NOLINT(cppcoreguidelines-pro-type-member-init): read into
    while (true) {
        const auto received = read_some(bytes.data(), bytes.size());
        if (!received) {
            return tl::unexpected(received.error());
        }
        if (*received == 0) {
            return body;
        }
        body.append(bytes.data(), *received);
        if (body.size() > max_bytes) {
            connection_->is_broken = true;
            return failure(errc::response_broken);
        }
    }
}

bool client_connection::is_reusable() const {
    const connection& used = *connection_;
    const bool is_complete = used.parser && used.parser->is_done();
    return is_complete && !used.write_error && !used.is_broken && used.parser->keep_alive() &&
           used.buffer.size() == 0;
}

bool client_connection::is_idle_alive() const {
    return http::is_idle_alive(connection_->transport().lowest_layer().native_handle());
}

result<response> client_connection::call(const request& sent, std::chrono::milliseconds timeout,
                                         std::size_t max_body_bytes) {
    auto head = call_for_head(sent, timeout);
    if (!head) {
        return head;
    }
    auto body = read_rest(max_body_bytes);
    if (!body) {
        return tl::unexpected(body.error());
    }
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
