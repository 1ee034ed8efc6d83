#pragma once

#include "src/core/identifiers.hpp"
#include "src/core/result.hpp"
#include "src/http/endpoint.hpp"
#include "src/http/server.hpp"
#include "src/rpc/delivery.hpp"
#include "src/rpc/forward_declarations.hpp"
#include "src/rpc/traffic.hpp"

#include <functional>
#include <memory>
#include <string>

namespace cicadahatch::rpc {

/// Called on the connection's thread, for one sender's batches in their order. The batch is
/// acknowledged when it returns, so it queues the messages and leaves the work to another thread.
using delivery_handler = std::function<void(delivery)>;

/// \brief Listener for the links of other daemons.
///
/// A link is accepted only if it proves knowledge of the shared secret before its first frame.
/// The proof is bound to the sender, its incarnation and the recipient.
/// \sa peer_server_builder
class peer_server {
public:
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    peer_server(peer_server&&) = delete;
    peer_server& operator=(peer_server&&) = delete;
    /// Closes all connections and waits for running handlers.
    ~peer_server();

    /// \returns where it listens, with the real port if built with port 0
    [[nodiscard]] const http::endpoint& place() const noexcept;
    /// \returns what it has carried
    [[nodiscard]] traffic carried() const;
    /// \returns links refused for a wrong secret, recipient or incarnation
    [[nodiscard]] std::uint64_t refused_links() const;
    /// \returns batches not handed over because they were repetitions
    [[nodiscard]] std::uint64_t repeated_batches() const;

private:
    friend class peer_server_builder;
    struct state;
    explicit peer_server(std::unique_ptr<state> built);

    std::unique_ptr<state> state_;
};

/// \brief Builds a peer_server.
class peer_server_builder {
public:
    peer_server_builder& listen_on(http::endpoint place);
    /// \param self links for another recipient are refused
    peer_server_builder& owned_by(daemon_id self);
    peer_server_builder& secret(std::string shared);
    peer_server_builder& tls(http::tls_files files);
    /// \param count worker threads; each incoming link holds one
    peer_server_builder& threads(int count);
    peer_server_builder& handle_with(delivery_handler called);

    /// \returns a listening server, or errc::listener_failed
    [[nodiscard]] result<std::unique_ptr<peer_server>> build() const;

private:
    friend class peer_server;
    http::endpoint place_;
    daemon_id self_;
    std::string secret_;
    http::tls_files tls_;
    int threads_ = 128;
    delivery_handler handler_;
};

} // namespace cicadahatch::rpc
