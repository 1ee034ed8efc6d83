#pragma once

#include "review/standins/wire.hpp"

#include <boost/asio/io_context.hpp>
#include <optional>

namespace review {

/// \brief A request of a client.
struct call {
    std::string method = "POST";
    std::string host = "shop.example";
    std::string path;
    std::string id;
    std::optional<milliseconds> deadline;
    std::string body;
};

/// \brief What the client got.
struct outcome {
    unsigned status = 0; ///< 0: the channel ended, or the client left, without an answer
    std::string id;
    std::string signature;
    std::string body;
    std::string retry_after;
    std::string fault;
};

/// \brief A channel of a client to the daemon.
class channel {
public:
    explicit channel(std::uint16_t port);
    [[nodiscard]] bool is_open() const { return is_open_; }
    [[nodiscard]] bool send(const call& asked);
    /// \brief Sends bytes as they are.
    [[nodiscard]] bool send_bytes(const std::string& bytes);
    /// \brief Waits for the answer; leaves when the patience is over.
    [[nodiscard]] outcome receive(milliseconds patience);

private:
    boost::asio::io_context loop_;
    tcp::socket socket_{loop_};
    boost::beast::flat_buffer buffer_;
    bool is_open_ = false;
};

std::string head_of(const call& asked, std::size_t body_bytes);
outcome send_once(std::uint16_t port, const call& asked, milliseconds patience);

} // namespace review
