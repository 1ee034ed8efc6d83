#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/scheduling/cell_state.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace cicadahatch::scheduling {

/// \brief Smoothed use of a cell's two pools and when a role last changed. The engines are those
/// that can take work.
struct role_balance {
    double prefill_utilization = 0; ///< demanded over supplied prefill seconds, smoothed
    double decode_utilization = 0;  ///< demanded over supplied slot seconds, smoothed
    std::uint32_t prefill_engines = 0;
    std::uint32_t decode_engines = 0;
    std::optional<time_point> overloaded_since; ///< since when one pool has been the pressed one
    backend_role overloaded_pool = backend_role::plain;
    std::optional<time_point> changed_at;
};

/// \brief Hysteresis of role changes.
struct role_change_policy {
    double overload_threshold = 0.9;    ///< a pool above this is pressed
    double max_donor_utilization = 0.6; ///< the other must stay below this after giving an engine
    duration min_overload_time = std::chrono::seconds{30}; ///< how long the pressure must last
    /// The same where a decode engine is to be given: it has streams to finish, and prefill engines
    /// that are out of reach for a while must not cost one.
    duration min_prefill_overload_time = std::chrono::seconds{30};
    /// The same for a pool without engines. Longer than the first ejection with its probe.
    duration min_empty_pool_time = std::chrono::seconds{3};
    duration min_change_interval = std::chrono::seconds{120}; ///< between two changes
    duration smoothing = std::chrono::seconds{10};            ///< time constant of the use
    /// Whether engines are moved as soon as that lowers the use of the fuller pool, so that both
    /// stand the same rush, rather than once a pool is pressed.
    bool balances_pools = false;
    double min_utilization = 0.25; ///< of the fuller pool; below it nothing is gained by a move
    double min_gain = 0.1;         ///< part of the fuller pool's use that a move must take away
    std::uint32_t min_donor_engines =
        2; ///< engines left in a pool that gives one, so that one may fail
};

/// \brief Part of what two pools supply that is asked of them; above one where more is asked.
struct pool_utilization {
    double prefill = 0;
    double decode = 0;
};

/// \returns the use by the requests that came between two moments. Both pools are measured by the
/// same requests, so that streams, which take seconds to fill a pool, don't count too little when
/// the load rises.
[[nodiscard]] pool_utilization utilization_between(const offered_work& before,
                                                   const offered_work& after,
                                                   const cell_capacity& capacity, duration between);

/// \brief Takes in one observation of both pools.
void observe_utilization(role_balance& balance, const role_change_policy& rule,
                         double prefill_utilization, double decode_utilization, duration since_last,
                         time_point now);

/// \brief Decides on a change of role. A pool without engines is pressed whatever its use, and any
/// pool of two engines may give it one: the cell serves nothing without it.
/// \returns the role that one engine of the other role should take, if any
[[nodiscard]] std::optional<backend_role>
decide_role_change(const role_balance& balance, const role_change_policy& rule, time_point now);

} // namespace cicadahatch::scheduling
