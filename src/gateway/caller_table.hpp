#pragma once

#include "src/forwarding/caller_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace cicadahatch::gateway {

/// \returns connections of callers that a process with so many descriptors may keep open
[[nodiscard]] std::size_t most_callers(std::uint32_t descriptors) noexcept;

/// \brief The open connections of callers, in the order in which they came.
class caller_table {
public:
    /// \param most open at once; at least one
    explicit caller_table(std::size_t most) : most_(most) {}

    /// \brief Makes room for one more connection, by closing the first idle one if need be.
    /// \returns false if all have a request in progress
    [[nodiscard]] bool make_room();

    void add(const forwarding::caller_ptr& accepted) { rows_.push_back(accepted); }
    void close_idle();

    /// \brief Forgets connections that have ended.
    void drop_closed();

    void set_most(std::size_t most) noexcept { most_ = most; }
    /// \returns open connections, and some that have just ended
    [[nodiscard]] std::size_t size() const noexcept { return rows_.size(); }

private:
    std::size_t most_;
    std::vector<std::weak_ptr<forwarding::caller_connection>> rows_;
};

} // namespace cicadahatch::gateway
