#include "test/support/raw_caller.hpp"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace cicadahatch::test_support {

namespace {

constexpr timeval receive_timeout{5, 0};
constexpr std::size_t buffer_bytes = 4096;

sockaddr_in to_address(const http::endpoint& place) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(place.port);
    inet_pton(AF_INET, place.host.c_str(), &address.sin_addr);
    return address;
}

} // namespace

raw_caller::raw_caller(const http::endpoint& place)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const sockaddr_in address = to_address(place);
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &receive_timeout, sizeof receive_timeout);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface asks for it
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    const int connected = connect(descriptor_, generic, sizeof address);
    CICADAHATCH_ASSERT(connected == 0, raw_caller_is_connected);
}

raw_caller::~raw_caller() {
    leave();
}

bool raw_caller::send(std::string_view bytes) const {
    const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    return sent == static_cast<ssize_t>(bytes.size());
}

void raw_caller::finish_sending() const {
    shutdown(descriptor_, SHUT_WR);
}

void raw_caller::leave() {
    if (descriptor_ >= 0) {
        close(descriptor_);
        descriptor_ = -1;
    }
}

std::string raw_caller::receive_all() const {
    return receive_until({});
}

std::string raw_caller::receive_some() const {
    std::array<char, buffer_bytes> buffer{};
    const ssize_t got = recv(descriptor_, buffer.data(), buffer.size(), 0);
    return got <= 0 ? std::string{} : std::string{buffer.data(), static_cast<std::size_t>(got)};
}

std::string raw_caller::receive_until(std::string_view text) const {
    std::string received;
    while (text.empty() || received.find(text) == std::string::npos) {
        const std::string bytes = receive_some();
        if (bytes.empty()) {
            break;
        }
        received += bytes;
    }
    return received;
}

} // namespace cicadahatch::test_support
