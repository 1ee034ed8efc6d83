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

/// RFC 9110, 15.5.20.
inline constexpr unsigned status_misdirected = 421;

/// Largest response that is buffered until it is complete.
inline constexpr std::size_t max_full_response_bytes = 4UL * 1024 * 1024;

/// Typical duration of a stream from its first event to its last; streams differ by a factor of
/// about two.
inline constexpr std::chrono::milliseconds ordinary_stream_duration{2'000};

/// Time until the load balancer stops using a daemon that is shutting down: it probes once a second
/// and removes a daemon after two failed probes. Idle callers stay connected until then.
inline constexpr std::chrono::milliseconds balancer_detection_time{2'500};

/// Retry-After of a request that a daemon rejects because it is shutting down. Another daemon can
/// be reached at once.
inline constexpr std::chrono::milliseconds shutdown_retry_after{10};

/// Retry-After of a request that was refused for memory, which becomes free as requests end.
inline constexpr std::chrono::milliseconds memory_retry_after{500};

/// Timeout for writes to a caller that does not read.
inline constexpr std::chrono::milliseconds slow_reader_timeout{10'000};

/// Time for which bytes of a caller are still read after the last response, so that closing the
/// connection does not reset it before the response has arrived.
inline constexpr std::chrono::milliseconds linger_timeout{1'000};

} // namespace cicadahatch::forwarding
