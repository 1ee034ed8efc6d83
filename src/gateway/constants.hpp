#pragma once

#include <chrono>
#include <cstddef>

namespace cicadahatch::gateway {

/// Minimum time between two scheduling runs of a home. Requests that arrive within it are scheduled
/// together.
inline constexpr std::chrono::milliseconds min_scheduling_interval{1};

/// Time between two scheduling runs while requests are waiting and no message arrives. It bounds
/// the error of the estimated ends of prefills.
inline constexpr std::chrono::milliseconds waiting_scheduling_interval{5};

/// Heartbeat period of a home towards a daemon with waiting requests (busy) and towards other
/// daemons (idle).
inline constexpr std::chrono::milliseconds busy_heartbeat_period{100};
inline constexpr std::chrono::milliseconds idle_heartbeat_period{500};

/// Time without data after which the connection to a home is closed: two and a half heartbeat
/// periods, plus a margin for a process that gets a quarter of a core.
inline constexpr std::chrono::milliseconds busy_heartbeat_timeout{300};
inline constexpr std::chrono::milliseconds idle_heartbeat_timeout{1500};

/// Timeout for connecting to a home. The latency within a region is about a millisecond.
inline constexpr std::chrono::milliseconds home_connect_timeout{250};

/// Time before reconnecting to a home that was unreachable, or to one that is shutting down.
inline constexpr std::chrono::milliseconds unreachable_backoff{1000};
inline constexpr std::chrono::milliseconds leaving_backoff{10'000};

/// Minimum number of home candidates per cell: one in each failure domain, in rendezvous order. If
/// all of them are unreachable at once, this daemon itself is partitioned.
inline constexpr std::size_t homes_per_cell = 3;

/// Time during which an engine's usage is polled after a stream failed or found no capacity there.
/// An engine that does not notice a lost connection continues for about the length of an ordinary
/// stream.
inline constexpr std::chrono::milliseconds usage_poll_time{3000};

/// Time between two usage polls of an engine. The platform charges for each poll.
inline constexpr std::chrono::milliseconds usage_poll_period{300};

/// Age of the values in an engine's usage report, which lag by some hundred milliseconds.
inline constexpr std::chrono::milliseconds report_lag{500};

/// Sampling period of the load offered to the pools. It covers several requests under load.
inline constexpr std::chrono::milliseconds load_sample_period{500};

/// Time for which a permit request waits for a cell's lease. The previous holder's lease expires
/// within a few seconds.
inline constexpr std::chrono::seconds permit_timeout{15};

/// Time between two checks of the held leases. Several fit into a third of the shortest lease,
/// after which a lease is renewed.
inline constexpr std::chrono::milliseconds lease_poll_period{250};

/// Time between two attempts to acquire a lease that another daemon holds or that the store did not
/// grant.
inline constexpr std::chrono::milliseconds lease_retry_delay{1000};

/// Time without requests after which a cell's lease is released, because another daemon may have
/// become its home.
inline constexpr std::chrono::seconds lease_idle_timeout{10};

/// Unused remainder of a lease. It covers late responses of the store and orders in transit.
inline constexpr std::chrono::seconds lease_margin{1};

/// Time that an engine ordered to change its role needs to drain its streams (a long stream takes
/// about this), and the multiple of the stated change duration that the change itself may take.
inline constexpr std::chrono::seconds engine_drain_time{10};
inline constexpr int role_change_allowance = 2;

/// Maximum size of the changes of the store in one message to other daemons. With a hundred slow
/// subscribers they take an eighth of the memory of the smallest VMs.
inline constexpr std::size_t max_published_bytes = 96UL * 1024;

/// Period of maintenance that no event triggers.
inline constexpr std::chrono::milliseconds maintenance_period{100};

} // namespace cicadahatch::gateway
