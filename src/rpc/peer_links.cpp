#include "src/rpc/peer_links.hpp"

namespace cicadahatch::rpc {

peer_links::peer_links(peer_link_builder prototype, peer_loss_handler on_loss)
    : prototype_(std::move(prototype)), on_loss_(std::move(on_loss)) {}

result<void> peer_links::send(const daemon_id& peer, const http::endpoint& place, message sent,
                              urgency how) {
    return link_to(peer, place)->send(std::move(sent), how);
}

std::shared_ptr<peer_link> peer_links::link_to(const daemon_id& peer, const http::endpoint& place) {
    const std::lock_guard lock{mutex_};
    std::shared_ptr<peer_link>& link = links_[{peer, place}];
    if (link == nullptr) {
        peer_link_builder builder = prototype_;
        builder.to(peer, place);
        if (on_loss_) {
            builder.on_loss([this, peer](std::vector<message> lost, const std::error_code& reason) {
                on_loss_(peer, std::move(lost), reason);
            });
        }
        link = builder.build();
    }
    return link;
}

void peer_links::close(const daemon_id& peer) {
    std::vector<std::shared_ptr<peer_link>> closing;
    {
        const std::lock_guard lock{mutex_};
        auto entry = links_.lower_bound({peer, {}});
        while (entry != links_.end() && entry->first.first == peer) {
            closing.push_back(std::move(entry->second));
            entry = links_.erase(entry);
        }
    }
    retire(std::move(closing));
}

void peer_links::close_idle(std::chrono::milliseconds idle) {
    const auto oldest = std::chrono::steady_clock::now() - idle;
    std::vector<std::shared_ptr<peer_link>> closing;
    {
        const std::lock_guard lock{mutex_};
        for (auto entry = links_.begin(); entry != links_.end();) {
            const bool is_idle =
                entry->second->last_use() < oldest && entry->second->pending() == 0;
            if (is_idle) {
                closing.push_back(std::move(entry->second));
            }
            entry = is_idle ? links_.erase(entry) : std::next(entry);
        }
    }
    retire(std::move(closing));
}

/// Destroying a link waits for its thread, so it happens outside the lock.
void peer_links::retire(std::vector<std::shared_ptr<peer_link>> closing) {
    traffic sum;
    for (const auto& link : closing) {
        sum = sum + link->carried();
    }
    closing.clear();
    const std::lock_guard lock{mutex_};
    closed_ = closed_ + sum;
}

traffic peer_links::carried() const {
    const std::lock_guard lock{mutex_};
    traffic sum = closed_;
    for (const auto& [key, link] : links_) {
        sum = sum + link->carried();
    }
    return sum;
}

std::size_t peer_links::size() const {
    const std::lock_guard lock{mutex_};
    return links_.size();
}

} // namespace cicadahatch::rpc
