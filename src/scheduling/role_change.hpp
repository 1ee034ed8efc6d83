#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/scheduling/cell_state.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace cicadahatch::scheduling {

/// \brief Smoothed utilization of a cell's two pools and the time of the last role change. Counts
/// only available engines.
struct role_balance {
    double prefill_utilization = 0; ///< demanded over supplied prefill seconds, smoothed
    double decode_utilization = 0;  ///< demanded over supplied slot seconds, smoothed
    std::uint32_t prefill_engines = 0;
    std::uint32_t decode_engines = 0;
    std::optional<time_point> overloaded_since; ///< start of the present overload
    backend_role overloaded_pool = backend_role::plain;
    std::optional<time_point> changed_at;
};

/// \brief Thresholds and hysteresis of role changes.
struct role_change_policy {
    double overload_threshold = 0.9;    ///< a pool above this is overloaded
    double max_donor_utilization = 0.6; ///< of the other pool after it gives up an engine
    duration min_overload_time = std::chrono::seconds{30}; ///< how long the overload must last
    /// The same for moving a decode engine to prefill. The engine must first finish its streams,
    /// and a temporary loss of prefill engines must not move one.
    duration min_prefill_overload_time = std::chrono::seconds{30};
    /// The same for a pool without engines. Longer than the first ejection and its probe.
    duration min_empty_pool_time = std::chrono::seconds{3};
    duration min_change_interval = std::chrono::seconds{120}; ///< between two role changes
    duration smoothing = std::chrono::seconds{10};            ///< time constant of the utilization
    /// Whether engines are moved as soon as that lowers the utilization of the busier pool, so that
    /// both pools absorb the same burst, instead of only when a pool is overloaded.
    bool balances_pools = false;
    double min_utilization = 0.25; ///< of the busier pool; no engine is moved below this
    double min_gain = 0.1;         ///< minimum relative reduction of the busier pool's utilization
    std::uint32_t min_donor_engines = 2; ///< engines left in the donor pool, so that one may fail
};

/// \brief Demand over supply of the two pools; above one in overload.
struct pool_utilization {
    double prefill = 0;
    double decode = 0;
};

/// \returns the utilization by the requests that arrived between two samples. Both pools are
/// measured by the same requests. Otherwise streams, which take seconds to fill a pool, would count
/// too little while the load rises.
[[nodiscard]] pool_utilization utilization_between(const offered_work& before,
                                                   const offered_work& after,
                                                   const cell_capacity& capacity,
                                                   duration interval);

/// \brief Updates the balance with one sample of both pools.
void observe_utilization(role_balance& balance, const role_change_policy& rule,
                         double prefill_utilization, double decode_utilization, duration since_last,
                         time_point now);

/// \brief Decides whether an engine changes its role. A pool without engines counts as overloaded
/// at any utilization and may get an engine from any pool of at least two, because the cell serves
/// nothing without it.
/// \returns the role that one engine of the other role should take, if any
[[nodiscard]] std::optional<backend_role>
decide_role_change(const role_balance& balance, const role_change_policy& rule, time_point now);

} // namespace cicadahatch::scheduling
