#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cicadahatch::scheduling {

/// Default number of tokens in the block that each prefix hash covers.
inline constexpr std::uint32_t prefix_block_tokens = 256;

/// Number of ranks of work.
inline constexpr std::size_t rank_count = 2;

/// Maximum number of queue heads skipped in one tick because no engine can hold them.
inline constexpr std::size_t max_skipped_per_tick = 8;

/// Weight of a new observation in moving averages.
inline constexpr double observation_weight = 0.1;

/// Time constant of the average engine usage by rank.
inline constexpr std::chrono::seconds usage_window{2};

/// How long starts and ends of streams are kept, to separate own from foreign load in reports.
inline constexpr std::chrono::seconds stream_history{5};

} // namespace cicadahatch::scheduling
