#include "src/gateway/caller_table.hpp"

#include <algorithm>

namespace cicadahatch::gateway {

namespace {

/// Descriptors for files, the store, other daemons and the pages; the platform keeps 200 of a
/// process's descriptors for files alone.
constexpr std::uint32_t reserved_descriptors = 200;

/// Part of the others that callers may take; a request takes one more, to a backend server, and
/// idle connections to those are kept.
constexpr double caller_part = 0.5;

} // namespace

std::size_t most_callers(std::uint32_t descriptors) noexcept {
    const std::uint32_t usable = descriptors - std::min(descriptors, reserved_descriptors);
    return std::max<std::size_t>(1, static_cast<std::size_t>(caller_part * usable));
}

bool caller_table::make_room() {
    if (rows_.size() >= most_) {
        drop_closed();
    }
    if (rows_.size() < most_) {
        return true;
    }
    const auto idle = std::find_if(rows_.begin(), rows_.end(), [](const auto& row) {
        const auto caller = row.lock();
        return caller != nullptr && caller->is_idle();
    });
    if (idle == rows_.end()) {
        return false;
    }
    if (const auto caller = idle->lock()) {
        caller->close_if_idle();
    }
    rows_.erase(idle);
    return true;
}

void caller_table::close_idle() {
    for (const auto& row : rows_) {
        if (const auto caller = row.lock()) {
            caller->close_if_idle();
        }
    }
}

void caller_table::drop_closed() {
    std::erase_if(rows_, [](const auto& row) { return row.expired(); });
}

} // namespace cicadahatch::gateway
