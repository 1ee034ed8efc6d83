#pragma once

#include "src/core/identifiers.hpp"

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace cicadahatch::rpc {

/// \brief Lets each batch through once. Safe for use by threads.
///
/// A sender's sequence numbers only grow, and it sends the next batch only after the last was
/// taken or given up, so everything up to the highest seen is a repetition or too late.
class sequence_filter {
public:
    /// \returns whether this incarnation may send at all: false once a later one has been seen
    [[nodiscard]] bool admits(const daemon_id& sender, incarnation started);

    /// \returns true the first time, false for a repetition or an old incarnation
    [[nodiscard]] bool take(const daemon_id& sender, incarnation started, std::uint64_t sequence);

    /// \returns the number of senders remembered
    [[nodiscard]] std::size_t size() const;

private:
    struct last_seen {
        incarnation started;
        std::uint64_t sequence = 0;
        std::uint64_t use = 0;
    };

    void forget_oldest();

    mutable std::mutex mutex_;
    std::uint64_t uses_ = 0;
    std::unordered_map<daemon_id, last_seen> senders_;
};

} // namespace cicadahatch::rpc
