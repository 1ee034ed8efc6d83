#pragma once

#include "src/core/clock.hpp"
#include "src/core/result.hpp"
#include "src/discovery/registry_feed.hpp"
#include "src/gateway/listener.hpp"
#include "src/gateway/peer_channel.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace cicadahatch::gateway {

/// \brief Relays the changes that this daemon reads from the store to subscribed daemons, and their
/// age to those that send their clock reading. Not thread-safe: used by the event loop's thread
/// only.
class registry_publisher {
public:
    /// \param lease_time keeps running while the VM is suspended; the clock of the deltas
    registry_publisher(forwarding::asio::io_context& loop, const clock& time,
                       const clock& lease_time);

    using configuration_handler = std::function<void(const store::entry& entry)>;

    /// \brief Sets the handler of configurations that subscribers pass on.
    void on_configuration(configuration_handler handler) { on_configuration_ = std::move(handler); }

    [[nodiscard]] result<void> open(const http::endpoint& place);

    /// \brief Disconnects all subscribers, so that they choose other sources.
    void close();

    /// \brief Passes a configuration that the store has lost on to all subscribers, present and
    /// future; null: to none any more.
    void pass_on(const store::entry* configuration);

    /// \brief Sends a delta to all subscribers.
    void publish(const discovery::store_delta& delta);

    /// \brief Removes closed connections. Called several times a second.
    void tick();

    [[nodiscard]] std::size_t subscribers() const noexcept { return subscribers_.size(); }

private:
    struct subscriber {
        std::shared_ptr<peer_channel> channel;
        std::optional<std::uint64_t> stamp; ///< its newest clock reading
    };

    void accept(forwarding::tcp::socket socket);
    void on_messages(const peer_channel* channel, const std::vector<rpc::message>& received);

    forwarding::asio::io_context& loop_;
    const clock& time_;
    const clock& lease_time_;
    listener listener_;
    std::vector<subscriber> subscribers_;
    configuration_handler on_configuration_;
    std::optional<rpc::configuration_shard> passed_on_;
};

} // namespace cicadahatch::gateway
