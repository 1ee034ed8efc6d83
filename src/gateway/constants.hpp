#pragma once

#include <chrono>

namespace cicadahatch::gateway {

/// Least time between two runs of a home's systems: requests that arrive together are decided
/// together.
inline constexpr std::chrono::milliseconds min_scheduling_interval{1};

/// Time between two runs while requests wait and nothing else happens: ends of prefills are known
/// to about this.
inline constexpr std::chrono::milliseconds waiting_scheduling_interval{5};

/// Time between two signs of context of a home to a daemon that waits for an answer, and to others.
inline constexpr std::chrono::milliseconds busy_heartbeat_period{100};
inline constexpr std::chrono::milliseconds idle_heartbeat_period{500};

/// Silence after which a home is given up: two and a half signs of context, and a margin for a core
/// of which a process gets a quarter.
inline constexpr std::chrono::milliseconds busy_heartbeat_timeout{300};
inline constexpr std::chrono::milliseconds idle_heartbeat_timeout{1500};

/// Longest wait for a connection to a home; paths within a region take about a millisecond.
inline constexpr std::chrono::milliseconds home_connect_timeout{250};

/// Time for which a home that could not be reached, or one that leaves, is not tried again.
inline constexpr std::chrono::milliseconds unreachable_backoff{1000};
inline constexpr std::chrono::milliseconds leaving_backoff{10'000};

/// Homes tried for a cell, at least: one in each failure domain, in rendezvous order. All being out
/// of reach at once means that this daemon is cut off.
inline constexpr std::size_t homes_per_cell = 3;

/// Time for which an engine's usage is asked for after a stream has failed there or has found no
/// room: an engine that does not notice a lost connection goes on for about an ordinary stream.
inline constexpr std::chrono::milliseconds usage_poll_time{3000};

/// Time between two questions to an engine, each of which the platform charges for.
inline constexpr std::chrono::milliseconds usage_poll_period{300};

/// Age of an engine's figures: they are as of some hundred milliseconds before.
inline constexpr std::chrono::milliseconds report_lag{500};

/// Time over which the work offered to the pools is added up: some requests, where there are any.
inline constexpr std::chrono::milliseconds load_sample_period{500};

/// Time for which a cell's lease is tried for: the one before lapses within a few seconds.
inline constexpr std::chrono::seconds permit_timeout{15};

/// Time between two looks at the held leases: several within a third of the shortest, after which
/// they are renewed.
inline constexpr std::chrono::milliseconds lease_poll_period{250};

/// Time between two tries to take a lease that is held by another, or that the store did not grant.
inline constexpr std::chrono::milliseconds lease_retry_delay{1000};

/// Time without requests after which a cell's lease is given up: another daemon may be its home.
inline constexpr std::chrono::seconds lease_idle_timeout{10};

/// Part of a lease that is never used: a store that answers late, and an order on its way.
inline constexpr std::chrono::seconds lease_margin{1};

/// An engine that was ordered to change its role finishes its streams first, which takes a long one
/// about this; then it changes, which may take longer than stated.
inline constexpr std::chrono::seconds engine_drain_time{10};
inline constexpr int role_change_allowance = 2;

/// Period of the work that no event triggers.
inline constexpr std::chrono::milliseconds maintenance_period{100};

} // namespace cicadahatch::gateway
