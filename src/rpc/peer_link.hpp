#pragma once

#include "src/core/result.hpp"
#include "src/http/client.hpp"
#include "src/http/endpoint.hpp"
#include "src/rpc/constants.hpp"
#include "src/rpc/forward_declarations.hpp"
#include "src/rpc/messages.hpp"
#include "src/rpc/traffic.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadahatch::rpc {

/// \brief How long a message may wait for others to travel with.
enum class urgency : std::uint8_t { prompt, deferrable };

/// Called on the link's thread with the messages of a batch that was not taken and the reason;
/// is_surely_not_taken() tells whether the peer can have seen them. Must not block for long.
using loss_handler = std::function<void(std::vector<message> lost, const std::error_code& reason)>;

/// \brief Outbox and kept connection to one peer.
///
/// The link's thread gathers messages for a flush delay, sends them as one batch and waits for
/// the peer's acknowledgement before the next. It repeats a batch over a new connection until
/// the delivery timeout; the peer takes it once.
/// \sa peer_link_builder
class peer_link {
public:
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    peer_link(peer_link&&) = delete;
    peer_link& operator=(peer_link&&) = delete;
    /// Gives what was not taken to the loss handler. Waits for a try to connect to end.
    ~peer_link();

    [[nodiscard]] const daemon_id& peer() const noexcept;
    [[nodiscard]] const http::endpoint& place() const noexcept;
    /// \returns what the link has carried
    [[nodiscard]] traffic carried() const;
    /// \returns the messages that wait or are under way
    [[nodiscard]] std::size_t pending() const;
    /// \returns when the last message was queued
    [[nodiscard]] std::chrono::steady_clock::time_point last_use() const;

    /// \brief Queues a message.
    /// \returns errc::outbox_full if too many wait, errc::too_large if it can't travel
    [[nodiscard]] result<void> send(message sent, urgency how = urgency::prompt);

private:
    friend class peer_link_builder;
    struct state;
    explicit peer_link(std::unique_ptr<state> built);

    std::unique_ptr<state> state_;
};

/// \brief Builds a peer_link.
class peer_link_builder {
public:
    /// \brief Who sends: name and start of this process.
    peer_link_builder& from(daemon_id self, incarnation started);
    /// \param peer expected name of the peer; empty accepts whoever listens there
    peer_link_builder& to(daemon_id peer, http::endpoint place);
    peer_link_builder& secret(std::string shared);
    peer_link_builder& tls(http::client_tls files);
    peer_link_builder& on_loss(loss_handler called);
    peer_link_builder& flush_delays(std::chrono::milliseconds prompt,
                                    std::chrono::milliseconds deferrable);
    peer_link_builder& timeouts(std::chrono::milliseconds acknowledgement,
                                std::chrono::milliseconds delivery);
    peer_link_builder& max_outbox(std::size_t messages);

    /// \returns a running link; it connects when the first message is sent
    [[nodiscard]] std::unique_ptr<peer_link> build() const;

private:
    friend class peer_link;
    daemon_id self_;
    incarnation started_;
    daemon_id peer_;
    http::endpoint place_;
    std::string secret_;
    http::client_tls tls_;
    loss_handler on_loss_;
    std::chrono::milliseconds prompt_delay_ = prompt_flush_delay;
    std::chrono::milliseconds deferrable_delay_ = deferrable_flush_delay;
    std::chrono::milliseconds acknowledgement_timeout_ = acknowledgement_timeout;
    std::chrono::milliseconds delivery_timeout_ = delivery_timeout;
    std::size_t max_outbox_ = max_outbox_messages;
};

} // namespace cicadahatch::rpc
