#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/http/constants.hpp"
#include "src/http/endpoint.hpp"
#include "src/http/exchange.hpp"
#include "src/http/forward_declarations.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace cicadahatch::http {

namespace internal {
class connection_watch;
} // namespace internal

/// Called on a worker thread for each request; must answer it before it returns.
using handler = std::function<void(exchange&)>;

/// \brief Files for TLS, in PEM.
struct tls_files {
    std::string certificate; ///< certificate and private key; empty: no TLS
    std::string peer_ca;     ///< authorities of the certificates required of peers; empty: none
};

/// \brief A listening HTTP server. Its destructor waits for the running handlers.
/// \sa server_builder
class server {
public:
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;
    ~server();

    /// \returns where it listens, with the real port if built with port 0
    [[nodiscard]] const endpoint& place() const noexcept { return place_; }
    /// \returns the number of requests in progress, those whose body is still arriving included
    [[nodiscard]] int active() const noexcept { return active_.load(); }
    /// \returns the number of handlers running now
    [[nodiscard]] int running() const noexcept { return running_.load(); }
    /// \returns the number of worker threads
    [[nodiscard]] int capacity() const noexcept { return threads_; }

private:
    friend class server_builder;
    server();
    static int dispatch(mg_connection* connection, void* self);
    void answer(mg_connection* connection, request received);
    [[nodiscard]] result<std::string> receive_body(mg_connection* connection);

    std::unique_ptr<internal::connection_watch> watch_;
    mg_context* context_ = nullptr;
    endpoint place_;
    handler handler_;
    std::size_t max_body_bytes_ = 0;
    int threads_ = 0;
    std::atomic<int> active_{0};
    std::atomic<int> running_{0};
};

/// \brief Builds a server.
class server_builder {
public:
    server_builder();
    server_builder& listen_on(endpoint place);
    server_builder& handle_with(handler called);
    /// \param count worker threads; each open connection holds one
    server_builder& threads(int count);
    server_builder& max_body_bytes(std::size_t bytes);
    /// \param timeout longest time in which a head, and then its body, has to arrive
    server_builder& receive_timeout(std::chrono::milliseconds timeout);
    /// \param count while fewer workers are free, the connections that have waited longest for a
    /// head or a body are closed; zero: none is
    server_builder& reserved_workers(int count);
    server_builder& time(const clock& source);
    server_builder& keep_alive(std::chrono::milliseconds timeout);
    server_builder& tls(tls_files files);

    /// \returns a server that is listening, or errc::server_not_started
    [[nodiscard]] result<std::unique_ptr<server>> build();

private:
    endpoint place_;
    handler handler_;
    int threads_ = 16;
    int reserved_workers_ = 0;
    const clock* time_;
    std::size_t max_body_bytes_ = default_max_body_bytes;
    std::chrono::milliseconds receive_timeout_ = default_receive_timeout;
    std::chrono::milliseconds keep_alive_ = default_keep_alive;
    tls_files tls_;
};

} // namespace cicadahatch::http
