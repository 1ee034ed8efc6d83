#pragma once

#include "src/core/clock.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cicadahatch::scheduling {

/// \brief What the operators value, each relative to one.
struct policy_weights {
    double goodput = 1;
    double wasted_prefill = 1;
    double urgent_service = 1;
    double rest_in_flood = 1;
};

/// \brief Bounds and weights of the decisions. One code path serves every deployment.
struct cell_policy {
    duration kv_retention = std::chrono::milliseconds{800}; ///< how long a prefill's KV is kept
    double usable_retention = 0.5; ///< part of the retention that a plan may use
    duration grant_lookahead = std::chrono::milliseconds{20}; ///< grant this early before idle
    duration affinity_wait = std::chrono::milliseconds{60};   ///< longest wait for a cached prefix
    double target_margin = 0.1; ///< part of the target kept as reserve in predictions
    duration control_delay = std::chrono::milliseconds{5}; ///< between a grant and its effect
    /// Whether memory is granted by looking ahead, where the most output of a request is known,
    /// rather than by adding up what each stream takes at its end.
    bool forecasts_memory = false;
    double memory_confidence = 1.3; ///< standard deviations kept free: 1 look in 10 is too low
    double output_headroom = 1.25;  ///< reserved over expected output
    double urgent_reserve = 0.0;    ///< part of the decode slots closed to work that goes second
    /// How long the reserve is kept for a level of work after its last request: the longest time
    /// for which a stream that takes the place would hold it.
    duration reserve_duration = std::chrono::seconds{10};
    double floor_margin = 1.0;                ///< floors are kept times this
    std::uint32_t local_prefill_tokens = 128; ///< up to this the decode engine prefills itself
    std::size_t max_waiting = 10'000;         ///< per rank
    std::size_t max_grants_per_tick = 64;
    duration stuck_margin = std::chrono::milliseconds{1000}; ///< beyond twice the prediction
    duration owner_timeout = std::chrono::seconds{5};        ///< after this a grant is reaped
    duration registration_window = std::chrono::milliseconds{500};
    std::uint32_t ejection_failures = 3; ///< failures in a row
    double max_ejected_share = 0.34;     ///< largest part of a role's engines ejected at once
    duration max_hold_time = std::chrono::seconds{1}; ///< after a failure that no report follows
    double slow_factor = 3.0; ///< slower than the role's median by this counts as failed
    duration base_ejection_time = std::chrono::seconds{2};
    duration max_ejection_time = std::chrono::seconds{60};
    std::size_t max_cached_prefixes = 200'000; ///< per engine's view
    duration min_retry_after = std::chrono::milliseconds{500};
    duration max_retry_after = std::chrono::seconds{30};
};

/// \brief Turns weights into bounds.
/// \param base bounds that no weight touches are taken from here
[[nodiscard]] cell_policy weighted_policy(const policy_weights& weights, cell_policy base = {});

/// \returns weights for long prompts on a small fleet: wasted prefill and goodput first
[[nodiscard]] policy_weights association_weights();

/// \returns weights for urgent service first and for what the rest keeps in a flood
[[nodiscard]] policy_weights utility_weights();

} // namespace cicadahatch::scheduling
