#include "src/forwarding/connection_pool.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Idle time if the server sends no Keep-Alive timeout; servers commonly keep idle connections for
/// five seconds or more.
constexpr std::chrono::milliseconds default_idle_timeout = 4s;

/// A connection is closed this long before the server would close it, so that no request is sent
/// while the close is on its way: several times the longest network delay within a region.
constexpr std::chrono::milliseconds close_margin = 300ms;

} // namespace

connection_ptr connection_pool::acquire(const backend_id& backend, incarnation started,
                                        time_point now) {
    const auto found = idle_.find(backend);
    if (found == idle_.end()) {
        return nullptr;
    }
    std::deque<idle_connection>& idle = found->second;
    while (!idle.empty()) {
        idle_connection latest = std::move(idle.back());
        idle.pop_back();
        const bool is_alive = latest.connection->started() == started && now < latest.expires_at &&
                              latest.connection->is_idle_alive();
        if (is_alive) {
            return latest.connection;
        }
        latest.connection->close();
    }
    return nullptr;
}

void connection_pool::release(const connection_ptr& connection, time_point now) {
    connection->clear_deadline();
    if (!connection->is_reusable()) {
        connection->close();
        return;
    }
    const auto server_timeout = connection->idle_timeout();
    const std::chrono::milliseconds idle_time =
        server_timeout ? std::chrono::milliseconds{*server_timeout} - close_margin
                       : default_idle_timeout;
    if (idle_time <= 0ms) {
        connection->close();
        return;
    }
    idle_[connection->backend()].push_back({connection, now + idle_time});
}

void connection_pool::close_expired(time_point now) {
    for (auto& [backend, idle] : idle_) {
        std::erase_if(idle, [now](const idle_connection& entry) {
            const bool is_expired = entry.expires_at <= now || !entry.connection->is_idle_alive();
            if (is_expired) {
                entry.connection->close();
            }
            return is_expired;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

void connection_pool::close_all(const backend_id& backend) {
    const auto found = idle_.find(backend);
    if (found == idle_.end()) {
        return;
    }
    for (const idle_connection& entry : found->second) {
        entry.connection->close();
    }
    idle_.erase(found);
}

std::size_t connection_pool::size() const {
    std::size_t count = 0;
    for (const auto& [backend, idle] : idle_) {
        count += idle.size();
    }
    return count;
}

} // namespace cicadahatch::forwarding
