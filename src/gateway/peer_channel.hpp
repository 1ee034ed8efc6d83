#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/forwarding/asio.hpp"
#include "src/rpc/messages.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadahatch::gateway {

/// \brief A connection between two daemons. Each side sends length-prefixed batches of messages.
/// The connecting side sends its name first. An empty batch is a heartbeat.
class peer_channel : public std::enable_shared_from_this<peer_channel> {
public:
    /// Called with the messages of each batch that is not empty.
    using message_handler =
        std::function<void(const daemon_id& peer, const std::vector<rpc::message>& received)>;
    using close_handler = std::function<void(const daemon_id& peer)>;

    peer_channel(forwarding::asio::io_context& loop, const clock& time);

    void on_messages(message_handler handler) { on_messages_ = std::move(handler); }
    void on_close(close_handler handler) { on_close_ = std::move(handler); }

    /// \brief Starts serving a connection that a peer opened.
    void accept(forwarding::tcp::socket socket);

    /// \brief Connects to a peer and calls on_open once connected.
    void open(const daemon_id& self, const daemon_id& peer,
              const forwarding::tcp::endpoint& endpoint, std::function<void()> on_open);

    void send(std::vector<rpc::message> messages);
    void close();

    [[nodiscard]] bool is_open() const noexcept { return is_open_; }
    [[nodiscard]] const daemon_id& peer() const noexcept { return peer_; }
    /// \returns when data was last received from the peer
    [[nodiscard]] time_point last_received_at() const noexcept { return last_received_at_; }

private:
    [[nodiscard]] forwarding::asio::awaitable<void> read_frames(bool expects_name);
    [[nodiscard]] forwarding::asio::awaitable<bool> read_frame(std::string& frame);
    [[nodiscard]] forwarding::asio::awaitable<void>
    connect(forwarding::tcp::endpoint endpoint, daemon_id self, std::function<void()> on_open);
    void queue_frame(const std::string& bytes);
    void write_next();

    const clock& time_;
    forwarding::tcp::socket socket_;
    message_handler on_messages_;
    close_handler on_close_;
    daemon_id peer_;
    std::string unsent_;
    std::string sending_;
    std::uint64_t sequence_ = 0;
    time_point last_received_at_;
    bool is_open_ = false;
    bool is_closed_ = false;
};

} // namespace cicadahatch::gateway
