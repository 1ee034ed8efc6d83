#pragma once

#include "src/forwarding/caller_connection.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace cicadahatch::gateway {

/// \returns the maximum number of caller connections for a process with a limit of descriptors
[[nodiscard]] std::size_t max_callers(std::uint32_t descriptors) noexcept;

/// \brief The open caller connections, in the order of their acceptance.
class caller_table {
public:
    /// \param max_size maximum number of open connections; at least one
    explicit caller_table(std::size_t max_size) : max_size_(max_size) {}

    /// \brief Makes room for one more connection. Closes the first idle one if the table is full.
    /// \returns false if every connection has a request in progress
    [[nodiscard]] bool make_room();

    void add(const forwarding::caller_ptr& connection) { connections_.push_back(connection); }
    void close_idle();
    /// \brief Ends the requests whose responses have not begun.
    void end_unanswered(forwarding::request_end_reason reason);

    /// \brief Removes closed connections.
    void remove_closed();

    void set_max_size(std::size_t max_size) noexcept { max_size_ = max_size; }
    /// \returns the number of open connections, including some that have just closed
    [[nodiscard]] std::size_t size() const noexcept { return connections_.size(); }

private:
    std::size_t max_size_;
    std::vector<std::weak_ptr<forwarding::caller_connection>> connections_;
};

} // namespace cicadahatch::gateway
