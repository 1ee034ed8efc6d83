#pragma once

#include "src/core/result.hpp"
#include "src/http/client.hpp"
#include "src/http/endpoint.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

struct mg_connection;

namespace cicadahatch::rpc::internal {

/// \brief A WebSocket connection to a peer on which one batch at a time is under way.
class link_connection {
public:
    link_connection(const link_connection&) = delete;
    link_connection& operator=(const link_connection&) = delete;
    link_connection(link_connection&&) = delete;
    link_connection& operator=(link_connection&&) = delete;
    ~link_connection();

    /// \param path with the proof, see link_path()
    /// \returns an open connection, or errc::not_connected
    [[nodiscard]] static result<std::unique_ptr<link_connection>>
    open(const http::endpoint& place, const http::client_tls& tls, const std::string& path);

    /// \brief Sends a batch and waits until the peer has taken it.
    /// \returns errc::not_connected if nothing was sent, errc::not_acknowledged, or errc::refused
    [[nodiscard]] result<void> deliver(std::uint64_t sequence, const std::string& bytes,
                                       std::chrono::milliseconds timeout);

    /// \returns whether the peer has closed the connection
    [[nodiscard]] bool is_closed() const;

private:
    link_connection() = default;
    static int on_data(mg_connection* connection, int bits, char* data, std::size_t size,
                       void* self);
    static void on_close(const mg_connection* connection, void* self);

    mg_connection* connection_ = nullptr;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t acknowledged_ = 0;
    bool is_closed_ = false;
};

} // namespace cicadahatch::rpc::internal
