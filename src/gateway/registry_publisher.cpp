#include "src/gateway/registry_publisher.hpp"

#include "src/gateway/registry_messages.hpp"

#include <utility>

namespace cicadahatch::gateway {

namespace {

/// Maximum number of subscribers: more than the daemons of a failure domain in the largest
/// deployment.
constexpr std::size_t max_subscribers = 512;

} // namespace

registry_publisher::registry_publisher(forwarding::asio::io_context& loop, const clock& time)
    : loop_(loop), time_(time),
      listener_(loop, [this](forwarding::tcp::socket socket) { accept(std::move(socket)); }) {}

result<void> registry_publisher::open(const http::endpoint& place) {
    return listener_.open(place);
}

void registry_publisher::accept(forwarding::tcp::socket socket) {
    tick();
    if (channels_.size() >= max_subscribers) {
        return; // Closing the socket makes the daemon choose another source.
    }
    const auto channel = std::make_shared<peer_channel>(loop_, time_);
    channels_.push_back(channel);
    channel->accept(std::move(socket));
}

void registry_publisher::publish(const discovery::store_delta& delta) {
    if (channels_.empty()) {
        return;
    }
    const rpc::registry_look message = to_message(delta);
    for (const auto& channel : channels_) {
        channel->send({message});
    }
}

void registry_publisher::tick() {
    std::erase_if(channels_, [](const auto& channel) { return !channel->is_open(); });
}

void registry_publisher::close() {
    listener_.close();
    for (const auto& channel : channels_) {
        channel->close();
    }
    channels_.clear();
}

} // namespace cicadahatch::gateway
