#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cicadahatch::serving {

/// Period in which a waiting caller's connection is checked.
inline constexpr std::chrono::milliseconds caller_check_period{100};

/// Frames held back at most because an earlier one is missing.
inline constexpr std::size_t max_frames_ahead = 256;

/// Tries of one completion at the engines, the first included.
inline constexpr std::uint32_t max_attempts = 4;

/// Bytes of a prompt that one prefix hash covers more than the one before.
inline constexpr std::size_t prefix_block_bytes = 256;

/// Prefix hashes computed for a prompt at most.
inline constexpr std::size_t max_prefix_hashes = 16;

/// Output tokens assumed when the caller states no bound.
inline constexpr std::uint32_t default_output_tokens = 256;

/// Deadline of a completion, as a multiple of its target for the first token.
inline constexpr int first_token_patience = 4;

/// Period in which backend servers are asked for their load.
inline constexpr std::chrono::milliseconds load_poll_period{250};

/// Time after which an engine that did not tell its cached prefixes is asked again.
inline constexpr std::chrono::seconds cache_retry_period{5};

/// Longest wait for a plain service's answer where its rule states no deadline.
inline constexpr std::chrono::milliseconds default_plain_deadline{30'000};

} // namespace cicadahatch::serving
