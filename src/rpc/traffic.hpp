#pragma once

#include <cstdint>

namespace cicadahatch::rpc {

/// \brief Counts of what a link or a listener has carried, headers of its protocol included,
/// those of TCP and IP not.
struct traffic {
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t batches = 0;
    std::uint64_t messages = 0;
    std::uint64_t connections = 0;
};

/// \returns the sum of both
[[nodiscard]] constexpr traffic operator+(const traffic& left, const traffic& right) noexcept {
    return {left.bytes_sent + right.bytes_sent, left.bytes_received + right.bytes_received,
            left.batches + right.batches, left.messages + right.messages,
            left.connections + right.connections};
}

} // namespace cicadahatch::rpc
