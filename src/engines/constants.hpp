#pragma once

#include <chrono>
#include <cstddef>

namespace cicadahatch::engines {

/// Longest line of a token stream.
inline constexpr std::size_t max_frame_bytes = 16UL * 1024;

/// Longest wait for a prefill's answer.
inline constexpr std::chrono::milliseconds prefill_timeout{10'000};

/// Longest wait for the head of a token stream, which includes the KV transfer.
inline constexpr std::chrono::milliseconds decode_head_timeout{5'000};

/// Longest wait for the answer to a control call.
inline constexpr std::chrono::milliseconds control_timeout{1'000};

/// Longest answer to a call for the cached prefixes.
inline constexpr std::size_t max_cache_response_bytes = 256UL * 1024;

/// Time between two tries of a cancel.
inline constexpr std::chrono::milliseconds cancel_retry_period{200};

/// A cancel is given up after this time: by then an engine that was only cut off has dropped
/// what it held, because its stream's reader has gone.
inline constexpr std::chrono::seconds cancel_timeout{60};

} // namespace cicadahatch::engines
