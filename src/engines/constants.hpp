#pragma once

#include <chrono>
#include <cstddef>

namespace cicadahatch::engines {

/// Maximum length of a line in a token stream.
inline constexpr std::size_t max_frame_bytes = 16UL * 1024;

/// Maximum wait for the response to a prefill.
inline constexpr std::chrono::milliseconds prefill_timeout{10'000};

/// Maximum wait for the response head of a token stream; includes the KV transfer.
inline constexpr std::chrono::milliseconds decode_head_timeout{5'000};

/// Maximum wait for the response to a control call.
inline constexpr std::chrono::milliseconds control_timeout{1'000};

/// Maximum size of the response to a call for the cached prefixes.
inline constexpr std::size_t max_cache_response_bytes = 256UL * 1024;

/// Time between two attempts to send a cancel.
inline constexpr std::chrono::milliseconds cancel_retry_period{200};

/// A cancel is abandoned after this time. By then an engine that was merely unreachable has
/// released the attempt's resources, because the reader of its stream has disconnected.
inline constexpr std::chrono::seconds cancel_timeout{60};

} // namespace cicadahatch::engines
