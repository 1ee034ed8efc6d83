#include "review/standins/wire.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <poll.h>
#include <thread>

namespace review {

namespace {

constexpr unsigned http_1_1 = 11;

boost::asio::io_context& shared_loop() {
    static boost::asio::io_context loop;
    return loop;
}

/// \returns whether a connection waits
bool wait_for_connection(tcp::acceptor& acceptor) {
    constexpr int wait_ms = 10;
    pollfd waiting{acceptor.native_handle(), POLLIN, 0};
    return ::poll(&waiting, 1, wait_ms) > 0;
}

void accept_all(const std::shared_ptr<tcp::acceptor>& acceptor, const server::handler& serve,
                const std::shared_ptr<std::atomic<bool>>& is_stopped) {
    net_error error;
    while (!*is_stopped) {
        if (!wait_for_connection(*acceptor)) {
            continue;
        }
        tcp::socket accepted{shared_loop()};
        acceptor->accept(accepted, error);
        if (error) {
            continue;
        }
        accepted.set_option(tcp::no_delay(true), error);
        std::thread{[serve, held = std::make_shared<tcp::socket>(std::move(accepted))] {
            serve(*held);
        }}.detach();
    }
    acceptor->close(error);
}

} // namespace

std::string field_of(const http_request& from, const char* name) {
    const auto value = from[name];
    return {value.data(), value.size()};
}

std::string base64(const std::string& bytes) {
    static constexpr const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset) {
            const bool is_inside = at + offset < bytes.size();
            group = group << 8U | (is_inside ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            const bool is_padding = at + digit > bytes.size();
            encoded += is_padding ? '=' : digits[group >> (18U - 6U * digit) & 63U];
        }
    }
    return encoded;
}

std::uint16_t free_port() {
    tcp::acceptor chosen{shared_loop(), tcp::endpoint{boost::asio::ip::make_address(loopback), 0}};
    return chosen.local_endpoint().port();
}

std::string place_of(std::uint16_t port) {
    return std::string{loopback} + ":" + std::to_string(port);
}

server::server(handler serve) {
    const auto acceptor = std::make_shared<tcp::acceptor>(
        shared_loop(), tcp::endpoint{boost::asio::ip::make_address(loopback), 0});
    port_ = acceptor->local_endpoint().port();
    std::thread{[acceptor, serve = std::move(serve), is_stopped = is_stopped_] {
        accept_all(acceptor, serve, is_stopped);
    }}.detach();
}

bool read_request(tcp::socket& from, boost::beast::flat_buffer& buffer, http_request& into) {
    constexpr std::uint64_t max_body_bytes = 16ULL * 1024 * 1024;
    beast_http::request_parser<beast_http::string_body> parser;
    parser.body_limit(max_body_bytes);
    net_error error;
    beast_http::read(from, buffer, parser, error);
    into = parser.release();
    return !error;
}

bool write_response(tcp::socket& to, http_response answer) {
    answer.version(http_1_1);
    answer.prepare_payload();
    net_error error;
    beast_http::write(to, answer, error);
    return !error;
}

http_response json_response(unsigned status, const json& body) {
    http_response answer;
    answer.result(status);
    answer.set(beast_http::field::content_type, "application/json");
    answer.body() = body.dump();
    return answer;
}

} // namespace review
