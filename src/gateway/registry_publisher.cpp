#include "src/gateway/registry_publisher.hpp"

#include "src/gateway/registry_messages.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::gateway {

namespace {

/// Maximum number of subscribers: more than the daemons of a failure domain in the largest
/// deployment.
constexpr std::size_t max_subscribers = 512;

} // namespace

registry_publisher::registry_publisher(forwarding::asio::io_context& loop, const clock& time,
                                       const clock& lease_time)
    : loop_(loop), time_(time), lease_time_(lease_time),
      listener_(loop, [this](forwarding::tcp::socket socket) { accept(std::move(socket)); }) {}

result<void> registry_publisher::open(const http::endpoint& place) {
    return listener_.open(place);
}

void registry_publisher::accept(forwarding::tcp::socket socket) {
    tick();
    if (subscribers_.size() >= max_subscribers) {
        return; // Closing the socket makes the daemon choose another source.
    }
    const auto channel = std::make_shared<peer_channel>(loop_, time_);
    channel->on_messages([this, from = channel.get()](const daemon_id& /*peer*/,
                                                      const std::vector<rpc::message>& received) {
        on_messages(from, received);
    });
    subscribers_.push_back({channel, std::nullopt});
    channel->accept(std::move(socket));
    if (passed_on_) {
        channel->send({*passed_on_});
    }
}

void registry_publisher::pass_on(const store::entry* configuration) {
    passed_on_.reset();
    if (configuration == nullptr) {
        return;
    }
    passed_on_ = to_message(*configuration);
    for (const subscriber& row : subscribers_) {
        row.channel->send({*passed_on_});
    }
}

void registry_publisher::on_messages(const peer_channel* channel,
                                     const std::vector<rpc::message>& received) {
    const auto sender =
        std::find_if(subscribers_.begin(), subscribers_.end(),
                     [channel](const subscriber& row) { return row.channel.get() == channel; });
    if (sender == subscribers_.end()) {
        return;
    }
    for (const rpc::message& message : received) {
        if (const auto* ping = std::get_if<rpc::registry_ping>(&message)) {
            sender->stamp = ping->stamp;
        } else if (const auto* passed_on = std::get_if<rpc::configuration_shard>(&message)) {
            on_configuration_(to_entry(*passed_on));
        }
    }
}

void registry_publisher::publish(const discovery::store_delta& delta) {
    if (subscribers_.empty()) {
        return;
    }
    const rpc::registry_look message = to_message(delta);
    for (const subscriber& row : subscribers_) {
        std::vector<rpc::message> messages{message};
        if (row.stamp && delta.complete_as_of) {
            const duration age = lease_time_.now() - *delta.complete_as_of;
            messages.emplace_back(
                rpc::registry_age{*row.stamp, std::chrono::ceil<std::chrono::milliseconds>(age)});
        }
        row.channel->send(std::move(messages));
    }
}

void registry_publisher::tick() {
    std::erase_if(subscribers_, [](const auto& row) { return !row.channel->is_open(); });
}

void registry_publisher::close() {
    listener_.close();
    for (const subscriber& row : subscribers_) {
        row.channel->close();
    }
    subscribers_.clear();
}

} // namespace cicadahatch::gateway
