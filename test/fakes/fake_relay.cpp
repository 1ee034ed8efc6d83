#include "cicadahatch/http"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

// A stand-in for the network between two processes. It relays TCP connections to a target on
// loopback. While cut it neither accepts, reads nor writes, like a network that drops packets:
//   POST /control {"target": "host:port", "cut": true|false}
// It prints "ready relay=HOST:PORT control=HOST:PORT" and runs until SIGTERM or SIGINT.

namespace {

using namespace cicadahatch;

constexpr int poll_period_ms = 20;
constexpr std::size_t buffer_bytes = 64UL * 1024;
constexpr int backlog = 128;

/// Both ends of one relayed connection.
struct relayed {
    int caller = -1;
    int target = -1;
    bool is_open = true;
};

class relay {
public:
    [[nodiscard]] http::endpoint listen();
    void control(http::exchange& call);
    /// \brief Relays; returns only when the process ends.
    void run();

private:
    void accept_one();
    void pass_on(relayed& one, int from, int to) const;
    void serve(const std::vector<pollfd>& ready);
    [[nodiscard]] std::vector<pollfd> waiting() const;

    int listener_ = -1;
    std::list<relayed> connections_;
    std::atomic<bool> is_cut_{false};
    std::mutex mutex_; ///< guards the target
    http::endpoint target_;
};

sockaddr_in loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

sockaddr* plain(sockaddr_in& address) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): the socket interface's own way
    return reinterpret_cast<sockaddr*>(&address);
}

http::endpoint relay::listen() {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    const bool is_listening = bind(listener_, plain(address), size) == 0 &&
                              ::listen(listener_, backlog) == 0 &&
                              getsockname(listener_, plain(address), &size) == 0;
    return {"127.0.0.1", is_listening ? ntohs(address.sin_port) : std::uint16_t{0}};
}

void relay::control(http::exchange& call) {
    const auto asked = nlohmann::json::parse(call.request().body, nullptr, false);
    if (!asked.is_object()) {
        call.respond(http::json_response(http::status_bad_request, "{}"));
        return;
    }
    if (const auto place = http::parse_endpoint(asked.value("target", ""))) {
        const std::lock_guard lock{mutex_};
        target_ = *place;
    }
    is_cut_ = asked.value("cut", is_cut_.load());
    call.respond(http::json_response(http::status_ok, "{}"));
}

void relay::accept_one() {
    relayed one;
    one.caller = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    one.target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    {
        const std::lock_guard lock{mutex_};
        address = loopback(target_.port);
    }
    if (connect(one.target, plain(address), sizeof(address)) != 0) {
        close(one.caller);
        close(one.target);
        return;
    }
    connections_.push_back(one);
}

void relay::pass_on(relayed& one, int from, int to) const {
    std::array<char, buffer_bytes> buffer{};
    const ssize_t got = recv(from, buffer.data(), buffer.size(), 0);
    const auto bytes = static_cast<std::size_t>(std::max<ssize_t>(got, 0));
    const bool is_sent = send(to, buffer.data(), bytes, MSG_NOSIGNAL) == got;
    one.is_open = one.is_open && got > 0 && is_sent;
}

std::vector<pollfd> relay::waiting() const {
    std::vector<pollfd> waited{{listener_, POLLIN, 0}};
    for (const relayed& one : connections_) {
        waited.push_back({one.caller, POLLIN, 0});
        waited.push_back({one.target, POLLIN, 0});
    }
    return waited;
}

void relay::serve(const std::vector<pollfd>& ready) {
    std::size_t index = 1;
    for (relayed& one : connections_) {
        if (ready[index].revents != 0) {
            pass_on(one, one.caller, one.target);
        }
        if (one.is_open && ready[index + 1].revents != 0) {
            pass_on(one, one.target, one.caller);
        }
        index += 2;
    }
    std::erase_if(connections_, [](const relayed& one) {
        if (!one.is_open) {
            close(one.caller);
            close(one.target);
        }
        return !one.is_open;
    });
}

void relay::run() {
    while (true) {
        std::vector<pollfd> waited = waiting();
        const bool is_cut = is_cut_;
        const int count =
            poll(is_cut ? nullptr : waited.data(), is_cut ? 0 : waited.size(), poll_period_ms);
        if (count <= 0 || is_cut_) {
            continue;
        }
        serve(waited);
        if (waited.front().revents != 0) {
            accept_one();
        }
    }
}

sigset_t ending_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

int main() {
    const sigset_t signals = ending_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    relay relaying;
    const http::endpoint place = relaying.listen();
    auto control = http::server_builder{}
                       .listen_on({"127.0.0.1", 0})
                       .threads(2)
                       .handle_with([&](http::exchange& call) { relaying.control(call); })
                       .build();
    if (!control || place.port == 0) {
        std::fputs("fake_relay: no listener\n", stderr);
        return EXIT_FAILURE;
    }
    std::printf("ready relay=%s control=%s\n", http::to_string(place).c_str(),
                http::to_string((*control)->place()).c_str());
    std::fflush(stdout);
    std::thread{[&] { relaying.run(); }}.detach();
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(EXIT_SUCCESS);
}
