#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/discovery/registry_feed.hpp"
#include "src/gateway/listener.hpp"
#include "src/gateway/peer_channel.hpp"

#include <memory>
#include <vector>

namespace cicadahatch::gateway {

/// \brief Tells the daemons that have connected what this one reads from the store. Messages
/// that they send are ignored. Used by the event loop's thread.
class registry_publisher {
public:
    registry_publisher(forwarding::asio::io_context& loop, const clock& time);

    [[nodiscard]] result<void> open(const http::endpoint& place);

    /// \brief Sends the others elsewhere.
    void close();

    /// \brief Passes a look on to all that are connected.
    void publish(const discovery::store_delta& delta);

    /// \brief Forgets connections that have ended; to be called some times a second.
    void tick();

    [[nodiscard]] std::size_t subscribers() const noexcept { return channels_.size(); }

private:
    void accept(forwarding::tcp::socket socket);

    forwarding::asio::io_context& loop_;
    const clock& time_;
    listener listener_;
    std::vector<std::shared_ptr<peer_channel>> channels_;
};

} // namespace cicadahatch::gateway
