#pragma once

#include <cstdint>
#include <optional>

namespace cicadahatch::balancing {

/// \brief Prompt and output length of a stream, in tokens.
struct stream_size {
    std::uint32_t prompt = 0;
    std::uint32_t max_output = 0;
    std::optional<std::uint32_t> expected_output; ///< the caller's estimate
};

/// \returns the engine memory to reserve for a stream, in tokens: prompt plus maximum output, so
/// that no stream is preempted
[[nodiscard]] std::uint32_t kv_reservation_tokens(const stream_size& size);

} // namespace cicadahatch::balancing
