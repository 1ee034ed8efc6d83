#include "src/gateway/caller_table.hpp"

#include <algorithm>

namespace cicadahatch::gateway {

namespace {

/// Descriptors reserved for files, the store, other daemons and the daemon's own HTTP endpoints.
/// The platform reserves 200 of a process's descriptors for files alone.
constexpr std::uint32_t reserved_descriptors = 200;

/// Share of the remaining descriptors available to callers. A request needs a second one for its
/// backend server, and idle connections to backend servers are kept open.
constexpr double caller_share = 0.5;

} // namespace

std::size_t max_callers(std::uint32_t descriptors) noexcept {
    const std::uint32_t usable = descriptors - std::min(descriptors, reserved_descriptors);
    return std::max<std::size_t>(1, static_cast<std::size_t>(caller_share * usable));
}

bool caller_table::make_room() {
    if (connections_.size() >= max_size_) {
        remove_closed();
    }
    if (connections_.size() < max_size_) {
        return true;
    }
    const auto closed =
        std::find_if(connections_.begin(), connections_.end(), [](const auto& connection) {
            const auto caller = connection.lock();
            return caller != nullptr && caller->close_if_idle();
        });
    if (closed == connections_.end()) {
        return false;
    }
    connections_.erase(closed);
    return true;
}

void caller_table::close_idle() {
    for (const auto& connection : connections_) {
        if (const auto caller = connection.lock()) {
            caller->close_if_idle();
        }
    }
}

void caller_table::end_unanswered(forwarding::request_end_reason reason) {
    for (const auto& connection : connections_) {
        if (const auto caller = connection.lock()) {
            caller->end_unanswered(reason);
        }
    }
}

void caller_table::remove_closed() {
    std::erase_if(connections_, [](const auto& connection) { return connection.expired(); });
}

} // namespace cicadahatch::gateway
