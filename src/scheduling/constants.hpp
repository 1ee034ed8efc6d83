#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cicadahatch::scheduling {

/// Tokens of the block that each prefix hash adds, where the request does not state them.
inline constexpr std::uint32_t prefix_block_tokens = 256;

/// Number of ranks of work.
inline constexpr std::size_t rank_count = 2;

/// Heads of queues that may be passed over in one tick because no engine can hold them now.
inline constexpr std::size_t max_skipped_per_tick = 8;

/// Weight of a new observation in the moving averages that correct predictions.
inline constexpr double observation_weight = 0.1;

/// Time over which the use of the engines by rank is averaged.
inline constexpr std::chrono::seconds usage_window{2};

/// How long begins and ends of streams are remembered, to tell own from foreign load in reports.
inline constexpr std::chrono::seconds stream_memory{5};

} // namespace cicadahatch::scheduling
