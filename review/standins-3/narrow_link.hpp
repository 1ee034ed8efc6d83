#pragma once

#include "cicadahatch/http"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review {

/// \brief A machine's link to a server: bytes from the server pass at a fixed rate. While the
/// server turns the machine away, its connections and new ones are reset.
class narrow_link {
public:
    narrow_link(cicadahatch::http::endpoint target, double bytes_per_second)
        : target_(std::move(target)), bytes_per_second_(bytes_per_second),
          listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof address;
        // NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast): asked by the interface
        bind(listener_, reinterpret_cast<sockaddr*>(&address), size);
        listen(listener_, backlog);
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        // NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)
        port_ = ntohs(address.sin_port);
        acceptor_ = std::thread([this] { accept_all(); });
    }
    narrow_link(const narrow_link&) = delete;
    narrow_link& operator=(const narrow_link&) = delete;
    narrow_link(narrow_link&&) = delete;
    narrow_link& operator=(narrow_link&&) = delete;
    ~narrow_link() {
        is_closing_ = true;
        acceptor_.join();
        for (std::thread& row : relays_) {
            row.join();
        }
        close(listener_);
    }

    [[nodiscard]] cicadahatch::http::endpoint place() const { return {"127.0.0.1", port_}; }
    void turn_away(bool is_turned_away) { is_turned_away_ = is_turned_away; }

private:
    static constexpr int backlog = 64;
    static constexpr int poll_ms = 20;
    static constexpr std::size_t piece_bytes = 8192;

    static sockaddr_in loopback(std::uint16_t port) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }
    static void reset(int descriptor) {
        const linger at_once{1, 0};
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close(descriptor);
    }
    static bool send_all(int descriptor, const char* bytes, std::size_t size) {
        while (size > 0) {
            const ssize_t sent = send(descriptor, bytes, size, MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes += sent;
            size -= static_cast<std::size_t>(sent);
        }
        return true;
    }
    void accept_all() {
        while (!is_closing_) {
            pollfd waiting{listener_, POLLIN, 0};
            if (poll(&waiting, 1, poll_ms) <= 0) {
                continue;
            }
            const int near = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (near < 0) {
                continue;
            }
            if (is_turned_away_) {
                reset(near);
                continue;
            }
            relays_.emplace_back([this, near] { relay(near); });
        }
    }
    /// Waits until the link has room for the bytes; its connections share it.
    void pace(std::size_t bytes) {
        std::chrono::steady_clock::time_point until;
        {
            const std::lock_guard lock{mutex_};
            const std::chrono::duration<double> needed{static_cast<double>(bytes) /
                                                       bytes_per_second_};
            free_at_ = std::max(free_at_, std::chrono::steady_clock::now()) +
                       std::chrono::duration_cast<std::chrono::steady_clock::duration>(needed);
            until = free_at_;
        }
        std::this_thread::sleep_until(until);
    }
    /// \returns whether the connection goes on
    bool pass(int from, int to, bool is_paced) {
        std::array<char, piece_bytes> bytes{};
        const ssize_t got = recv(from, bytes.data(), bytes.size(), 0);
        if (got <= 0) {
            return false;
        }
        if (is_paced) {
            pace(static_cast<std::size_t>(got));
        }
        return send_all(to, bytes.data(), static_cast<std::size_t>(got));
    }
    void relay(int near) {
        const int far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(target_.port);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast): asked by the interface
        const auto* generic = reinterpret_cast<const sockaddr*>(&address);
        bool is_open = connect(far, generic, sizeof address) == 0;
        while (is_open && !is_closing_ && !is_turned_away_) {
            std::array<pollfd, 2> waiting{{{near, POLLIN, 0}, {far, POLLIN, 0}}};
            if (poll(waiting.data(), waiting.size(), poll_ms) <= 0) {
                continue;
            }
            if (waiting[0].revents != 0) {
                is_open = pass(near, far, false);
            }
            if (is_open && waiting[1].revents != 0) {
                is_open = pass(far, near, true);
            }
        }
        close(far);
        if (is_turned_away_) {
            reset(near);
        } else {
            close(near);
        }
    }

    cicadahatch::http::endpoint target_;
    double bytes_per_second_;
    int listener_;
    std::uint16_t port_ = 0;
    std::atomic<bool> is_closing_{false};
    std::atomic<bool> is_turned_away_{false};
    std::mutex mutex_; ///< guards the time at which the link is free
    std::chrono::steady_clock::time_point free_at_;
    std::vector<std::thread> relays_; ///< used by the acceptor's thread, and after its end
    std::thread acceptor_;
};

} // namespace review
