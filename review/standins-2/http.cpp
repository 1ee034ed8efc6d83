#include "review/standins-2/http.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <random>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace standins {

namespace {

using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr unsigned first_final_status = 200;
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view last_chunk = "0\r\n\r\n";

void serve(tcp::socket& socket, const listener::handler& answer) {
    boost::beast::flat_buffer buffer;
    bool goes_on = true;
    while (goes_on) {
        any_request asked;
        error_code error;
        beast_http::read(socket, buffer, asked, error);
        goes_on = !error && answer(socket, asked);
    }
}

/// The acceptor and its loop last as long as the thread that uses them.
struct accepting {
    boost::asio::io_context loop;
    tcp::acceptor acceptor{loop, tcp::endpoint{boost::asio::ip::make_address("127.0.0.1"), 0}};
};

void accept_all(const std::shared_ptr<accepting>& open, const listener::handler& answer) {
    while (true) {
        error_code error;
        auto socket = std::make_shared<tcp::socket>(open->loop);
        open->acceptor.accept(*socket, error);
        if (error) {
            continue;
        }
        socket->set_option(tcp::no_delay(true), error);
        std::thread{[open, socket, answer] { serve(*socket, answer); }}.detach();
    }
}

unsigned status_of(const std::string& head) {
    const std::size_t space = head.find(' ');
    return space == std::string::npos
               ? 0
               : static_cast<unsigned>(std::strtoul(head.c_str() + space, nullptr, 10));
}

/// Whether the bytes behind a final head are its whole body. Without a length and chunks the body
/// ends with the channel.
bool is_body_whole(const received& seen, const std::string& body) {
    const std::string length = value_in_head(seen.head, "Content-Length");
    if (!length.empty()) {
        return body.size() >= std::strtoul(length.c_str(), nullptr, 10);
    }
    const bool is_chunked = !value_in_head(seen.head, "Transfer-Encoding").empty();
    return is_chunked ? body.ends_with(last_chunk) : seen.is_closed;
}

/// Looks for the final answer among the bytes that came.
void interpret(received& seen) {
    std::size_t at = 0;
    while (seen.status == 0) {
        const std::size_t end = seen.bytes.find(head_end, at);
        if (end == std::string::npos) {
            return;
        }
        const std::string head = seen.bytes.substr(at, end + head_end.size() - at);
        at = end + head_end.size();
        const unsigned status = status_of(head);
        if (status < first_final_status) {
            seen.interim_status = status;
            continue;
        }
        seen.status = status;
        seen.head = head;
    }
    const std::size_t body = seen.bytes.find(seen.head) + seen.head.size();
    seen.is_whole = is_body_whole(seen, seen.bytes.substr(body));
}

sockaddr_in loopback(unsigned short port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

const sockaddr* generic(const sockaddr_in& address) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface asks for it
    return reinterpret_cast<const sockaddr*>(&address);
}

} // namespace

std::string field_of(const any_request& asked, const char* name) {
    const auto value = asked[name];
    return {value.data(), value.size()};
}

listener::listener(handler answer) {
    const auto open = std::make_shared<accepting>();
    port_ = open->acceptor.local_endpoint().port();
    std::thread{[open, answer = std::move(answer)] { accept_all(open, answer); }}.detach();
}

bool send_bytes(tcp::socket& socket, std::string_view bytes) {
    error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes.data(), bytes.size()), error);
    return !error;
}

bool send_answer(tcp::socket& socket, unsigned status, const std::string& fields,
                 const std::string& body) {
    return send_bytes(socket, "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
                                  "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                                  body);
}

unsigned short free_port() {
    // Below the range that the system takes for the ends of connections, so that the port stays
    // free until the router listens.
    constexpr unsigned first = 15'000;
    constexpr unsigned count = 15'000;
    static std::mt19937 random{std::random_device{}()};
    while (true) {
        boost::asio::io_context loop;
        tcp::acceptor acceptor{loop, tcp::v4()};
        const auto port = static_cast<unsigned short>(first + random() % count);
        error_code error;
        acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            return port;
        }
    }
}

std::string value_in_head(const std::string& head, const std::string& name) {
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size()) {
        at += 2;
        const std::size_t end = std::min(head.find("\r\n", at), head.size());
        const std::size_t colon = head.find(':', at);
        const bool is_meant = colon < end && colon - at == name.size() &&
                              strncasecmp(head.c_str() + at, name.c_str(), name.size()) == 0;
        if (is_meant) {
            const std::size_t begin = head.find_first_not_of(' ', colon + 1);
            return begin < end ? head.substr(begin, end - begin) : std::string{};
        }
        at = head.find("\r\n", at);
    }
    return {};
}

channel::channel(unsigned short port)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in address = loopback(port);
    if (connect(descriptor_, generic(address), sizeof address) != 0) {
        close(descriptor_);
        descriptor_ = -1;
    }
}

channel::~channel() {
    if (descriptor_ >= 0) {
        close(descriptor_);
    }
}

received channel::exchange(const std::string& request, milliseconds patience) {
    received seen;
    const auto sent = send(descriptor_, request.data(), request.size(), MSG_NOSIGNAL);
    seen.sent_at = steady_clock::now();
    seen.is_closed = sent != static_cast<ssize_t>(request.size());
    const time_point until = seen.sent_at + patience;
    std::array<char, 65536> block{};
    while (!seen.is_closed && !seen.is_whole) {
        const auto left = std::chrono::ceil<milliseconds>(until - steady_clock::now());
        pollfd waiting{descriptor_, POLLIN, 0};
        if (left.count() <= 0 || poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
            break;
        }
        const ssize_t got = recv(descriptor_, block.data(), block.size(), 0);
        seen.is_closed = got <= 0;
        seen.bytes.append(block.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
        interpret(seen);
    }
    seen.ended_at = steady_clock::now();
    return seen;
}

unsigned get_status(unsigned short port, const std::string& path) {
    channel asking{port};
    return asking.exchange("GET " + path + " HTTP/1.1\r\nHost: local\r\n\r\n", milliseconds{500})
        .status;
}

} // namespace standins
