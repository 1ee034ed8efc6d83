#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/store/key_value_store.hpp"

namespace cicadahatch::orders {

/// \brief Times and rates of an issuer. All issuers of a cell use the same.
struct issuer_limits {
    std::chrono::seconds lease{15};
    std::chrono::seconds max_order_duration{120}; ///< from its arrival until it is carried out
    std::chrono::seconds connection_idle_timeout{
        10};                        ///< after which an engine closes a silent connection
    std::chrono::seconds margin{1}; ///< of the lease that is never used
    double loads_per_minute = 6.0;  ///< this cell's part of the weight store's rate
};

/// \brief The time for which a daemon issues the orders of a cell.
struct issuer_lease {
    fencing_number number; ///< store revision at which it took the cell
    store::lease_id lease;
    time_point acquired_at;
    time_point valid_until; ///< on this daemon's clock; the store's lease ends no earlier
};

/// \returns the last moment at which an order may be written
[[nodiscard]] time_point send_deadline(const issuer_lease& held, const issuer_limits& limits);

/// \returns when orders to engines that ignore fencing numbers may begin
///
/// By then an order of the issuer before has arrived and been carried out, even if that issuer was
/// frozen just before it wrote: its lease had ended, its connection was closed as idle, and the
/// longest order has passed. The lease's time is added against clocks that run at other speeds.
[[nodiscard]] time_point earliest_unfenced_send(const issuer_lease& held,
                                                const issuer_limits& limits);

/// \returns whether an order may be written now
[[nodiscard]] bool may_send(const issuer_lease& held, const issuer_limits& limits,
                            bool checks_fencing, time_point now);

} // namespace cicadahatch::orders
