#pragma once

#include "src/forwarding/caller_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace cicadahatch::gateway {

/// \returns connections of callers that a process with so many descriptors may keep open
[[nodiscard]] std::size_t max_callers(std::uint32_t descriptors) noexcept;

/// \brief The open connections of callers, in the order in which they came.
class caller_table {
public:
    /// \param max_size open at once; at least one
    explicit caller_table(std::size_t max_size) : max_size_(max_size) {}

    /// \brief Makes room for one more connection, by closing the first idle one if need be.
    /// \returns false if all have a request in progress
    [[nodiscard]] bool make_room();

    void add(const forwarding::caller_ptr& connection) { connections_.push_back(connection); }
    void close_idle();

    /// \brief Forgets connections that have ended.
    void remove_closed();

    void set_max_size(std::size_t max_size) noexcept { max_size_ = max_size; }
    /// \returns open connections, and some that have just ended
    [[nodiscard]] std::size_t size() const noexcept { return connections_.size(); }

private:
    std::size_t max_size_;
    std::vector<std::weak_ptr<forwarding::caller_connection>> connections_;
};

} // namespace cicadahatch::gateway
