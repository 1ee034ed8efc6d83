#pragma once

#include <chrono>
#include <cstddef>

namespace cicadahatch::forwarding {

/// Timeout for connecting to a backend server. Latency within a region is about a millisecond. A
/// lost SYN is retransmitted after a second, which is too late for most requests, so another server
/// is tried well within an objective of some hundred milliseconds.
inline constexpr std::chrono::milliseconds connect_timeout{100};

/// Timeout for a call to an engine's management interface, which needs no slot.
inline constexpr std::chrono::milliseconds engine_call_timeout{150};

/// Largest response that is buffered until it is complete.
inline constexpr std::size_t max_full_response_bytes = 4UL * 1024 * 1024;

/// Retry-After of a request that was refused for memory, which becomes free as requests end.
inline constexpr std::chrono::milliseconds memory_retry_after{500};

/// Timeout for writes to a caller that does not read.
inline constexpr std::chrono::milliseconds slow_reader_timeout{10'000};

/// Time for which bytes of a caller are still read after the last response, so that closing the
/// connection does not reset it before the response has arrived.
inline constexpr std::chrono::milliseconds linger_timeout{1'000};

} // namespace cicadahatch::forwarding
