#include "src/forwarding/connection_pool.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// A server that states no time closes an idle connection after one that can't be known; servers
/// commonly keep theirs for five seconds or more.
constexpr std::chrono::milliseconds unstated_idle_time = 4s;

/// A connection is given up this long before the server closes it, so that a request does not
/// cross the close: several times the longest path within a region.
constexpr std::chrono::milliseconds close_margin = 300ms;

} // namespace

connection_ptr connection_pool::take(const backend_id& backend, incarnation started,
                                     time_point now) {
    const auto found = idle_.find(backend);
    if (found == idle_.end()) {
        return nullptr;
    }
    std::deque<idle_connection>& kept = found->second;
    while (!kept.empty()) {
        idle_connection latest = std::move(kept.back());
        kept.pop_back();
        const bool is_usable = latest.connection->started() == started && now < latest.stale_at &&
                               latest.connection->is_idle_sound();
        if (is_usable) {
            return latest.connection;
        }
        latest.connection->close();
    }
    return nullptr;
}

void connection_pool::give_back(const connection_ptr& used, time_point now) {
    used->expire_never();
    if (!used->is_reusable()) {
        used->close();
        return;
    }
    const auto stated = used->idle_timeout();
    const std::chrono::milliseconds kept_for =
        stated ? std::chrono::milliseconds{*stated} - close_margin : unstated_idle_time;
    if (kept_for <= 0ms) {
        used->close();
        return;
    }
    idle_[used->backend()].push_back({used, now + kept_for});
}

void connection_pool::close_expired(time_point now) {
    for (auto& [backend, kept] : idle_) {
        std::erase_if(kept, [now](const idle_connection& row) {
            const bool is_over = row.stale_at <= now || !row.connection->is_idle_sound();
            if (is_over) {
                row.connection->close();
            }
            return is_over;
        });
    }
    std::erase_if(idle_, [](const auto& row) { return row.second.empty(); });
}

void connection_pool::close_all(const backend_id& backend) {
    const auto found = idle_.find(backend);
    if (found == idle_.end()) {
        return;
    }
    for (const idle_connection& row : found->second) {
        row.connection->close();
    }
    idle_.erase(found);
}

std::size_t connection_pool::size() const {
    std::size_t count = 0;
    for (const auto& [backend, kept] : idle_) {
        count += kept.size();
    }
    return count;
}

} // namespace cicadahatch::forwarding
