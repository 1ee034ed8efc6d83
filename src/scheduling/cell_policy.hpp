#pragma once

#include "src/core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cicadahatch::scheduling {

/// \brief The operator's priorities; 1 is neutral.
struct policy_weights {
    double goodput = 1;
    double wasted_prefill = 1;
    double urgent_service = 1;
    double rest_in_flood = 1;
};

/// \brief Limits and thresholds of the scheduling decisions, the same for every deployment type.
struct cell_policy {
    duration kv_retention = std::chrono::milliseconds{800}; ///< how long a prefill's KV is kept
    double usable_retention = 0.5; ///< fraction of kv_retention that a placement may use
    duration grant_lookahead =
        std::chrono::milliseconds{20}; ///< grant this long before a prefill ends
    duration affinity_wait =
        std::chrono::milliseconds{60}; ///< longest wait for an engine with a cached prefix
    double target_margin = 0.1;        ///< relative safety margin of predictions
    duration control_delay =
        std::chrono::milliseconds{5}; ///< delay between a grant and its start at the engine
    /// Whether admission forecasts the memory use over time, for requests with a known maximum
    /// output, instead of summing the final sizes of all streams.
    bool forecasts_memory = false;
    double memory_confidence =
        1.3;                       ///< standard deviations kept free; exceeded in 1 of 10 forecasts
    double output_headroom = 1.25; ///< reserved output over expected output
    double urgent_reserve = 0.0;   ///< fraction of decode slots kept for first-priority work
    /// How long the reserve is kept for a level after its last request: the longest time for which
    /// a stream of a lower level would occupy the reserved slot.
    duration reserve_duration = std::chrono::seconds{10};
    double floor_margin = 1.0;                ///< factor on every rank's floor
    std::uint32_t local_prefill_tokens = 128; ///< up to this, the decode engine does the prefill
    std::size_t max_waiting = 10'000;         ///< per rank
    std::size_t max_grants_per_tick = 64;
    duration stuck_margin = std::chrono::milliseconds{1000}; ///< added to twice the predicted time
    duration owner_timeout =
        std::chrono::seconds{5}; ///< without a heartbeat for this long, grants are reaped
    duration registration_window = std::chrono::milliseconds{500};
    std::uint32_t ejection_failures = 3;              ///< consecutive failures before ejection
    double max_ejected_share = 0.34;                  ///< of a role's engines
    duration max_hold_time = std::chrono::seconds{1}; ///< after a failure without a later report
    double slow_factor = 3.0; ///< relative to the role's median; slower engines are ejected
    duration base_ejection_time = std::chrono::seconds{2};
    duration max_ejection_time = std::chrono::seconds{60};
    std::size_t max_cached_prefixes = 200'000; ///< per engine
    duration min_retry_after = std::chrono::milliseconds{500};
    duration max_retry_after = std::chrono::seconds{30};
};

/// \brief Derives a policy from weights.
/// \param base source of the fields that do not depend on a weight
[[nodiscard]] cell_policy weighted_policy(const policy_weights& weights, cell_policy base = {});

/// \returns weights for long prompts on a small fleet, favoring little wasted prefill and goodput
[[nodiscard]] policy_weights association_weights();

/// \returns weights that favor the urgent rank and the floors of other work under overload
[[nodiscard]] policy_weights utility_weights();

} // namespace cicadahatch::scheduling
