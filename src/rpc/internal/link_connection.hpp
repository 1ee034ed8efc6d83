#pragma once

#include "src/core/result.hpp"
#include "src/http/client.hpp"
#include "src/http/endpoint.hpp"
#include "src/rpc/internal/deflate.hpp"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

struct mg_connection;

namespace cicadahatch::rpc::internal {

/// \brief Bytes of a batch and its acknowledgement on the wire, frame heads included.
struct exchanged_bytes {
    std::size_t sent = 0;
    std::size_t received = 0;
};

/// \brief A WebSocket connection to a peer on which one batch at a time is under way.
///
/// The first batch travels as it is. A peer that acknowledges it in the short form inflates what
/// follows; an older one is sent plain batches.
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
    [[nodiscard]] result<exchanged_bytes> deliver(std::uint64_t sequence, const std::string& bytes,
                                                  std::chrono::milliseconds timeout);

    /// \returns whether the peer has closed the connection
    [[nodiscard]] bool is_closed() const;

private:
    link_connection() = default;
    static int on_data(mg_connection* connection, int bits, char* data, std::size_t size,
                       void* self);
    static void on_close(const mg_connection* connection, void* self);
    [[nodiscard]] bool is_acknowledged(std::string_view answer);

    mg_connection* connection_ = nullptr;
    std::unique_ptr<batch_deflater> deflater_; ///< used by the link's thread only
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t under_way_ = 0;
    std::uint64_t acknowledged_ = 0;
    std::size_t answer_bytes_ = 0; ///< of the last acknowledgement
    bool peer_inflates_ = false;
    bool is_closed_ = false;
};

} // namespace cicadahatch::rpc::internal
