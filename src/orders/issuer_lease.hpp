#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/store/key_value_store.hpp"

namespace cicadahatch::orders {

/// \brief Timeouts and rates of an issuer. All issuers of a cell must use the same values.
struct issuer_limits {
    std::chrono::seconds lease{15};                   ///< duration of the lease
    std::chrono::seconds max_order_duration{120};     ///< from arrival until executed
    std::chrono::seconds connection_idle_timeout{10}; ///< engines close connections idle this long
    std::chrono::seconds safety_margin{1}; ///< part of the lease in which nothing is sent
    double loads_per_minute = 6.0;         ///< this cell's share of the weight store's rate
};

/// \brief Lease under which a daemon issues the orders of a cell.
struct issuer_lease {
    fencing_number number; ///< store revision at which the lease was acquired
    store::lease_id store_lease;
    time_point acquired_at;
    time_point valid_until; ///< by this daemon's clock; the store's lease expires no earlier
    /// By then the lease of an issuer that the store has forgotten in a restore has ended.
    time_point earliest_send{};
};

/// \returns the deadline for writing an order under this lease
[[nodiscard]] time_point send_deadline(const issuer_lease& lease, const issuer_limits& limits);

/// \returns the earliest time at which orders may be sent to engines that ignore fencing numbers
///
/// By then every order of the previous issuer has arrived and been executed, even if that issuer
/// was suspended just before the write: its lease has expired, its connection has been closed as
/// idle, and the longest order has finished. The lease duration is added to allow for clock rate
/// drift.
[[nodiscard]] time_point earliest_unfenced_send(const issuer_lease& lease,
                                                const issuer_limits& limits);

/// \returns whether an order may be sent now
[[nodiscard]] bool may_send(const issuer_lease& lease, const issuer_limits& limits,
                            bool checks_fencing, time_point now);

} // namespace cicadahatch::orders
