#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/discovery/registry_feed.hpp"
#include "src/gateway/listener.hpp"
#include "src/gateway/peer_channel.hpp"

#include <memory>
#include <vector>

namespace cicadahatch::gateway {

/// \brief Relays the changes that this daemon reads from the store to subscribed daemons. Ignores
/// messages from them. Not thread-safe: used by the event loop's thread only.
class registry_publisher {
public:
    registry_publisher(forwarding::asio::io_context& loop, const clock& time);

    [[nodiscard]] result<void> open(const http::endpoint& place);

    /// \brief Disconnects all subscribers, so that they choose other sources.
    void close();

    /// \brief Sends a delta to all subscribers.
    void publish(const discovery::store_delta& delta);

    /// \brief Removes closed connections. Called several times a second.
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
