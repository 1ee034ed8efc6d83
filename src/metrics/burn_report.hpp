#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/metrics/request_observation.hpp"
#include "src/metrics/snapshot.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace cicadahatch::metrics {

/// \brief The objective of one service and rank.
struct burn_objective {
    service_id service;
    rank work_rank = rank::deferrable;
    double objective = 0.95;           ///< part of the requests that must meet both targets
    duration first_token_target{0};    ///< zero: no target
    duration between_tokens_target{0}; ///< zero: no target
};

/// \brief How fast the error budget is spent in one window.
struct burn_window {
    duration length{0};
    window_count counted;
    double rate =
        0.0; ///< part of requests that missed, over the part that may; 1 spends it exactly
};

/// \brief One line of the report.
struct burn_line {
    burn_objective objective;
    burn_window short_window;
    burn_window long_window;
    double budget_left =
        1.0;                 ///< part of the long window's error budget unspent; below 0: overspent
    duration first_token{0}; ///< quantile at the objective, since the daemons started
    duration between_tokens{0};  ///< quantile at the objective, since the daemons started
    double wasted_prefill = 0.0; ///< part of the prefill tokens thrown away
    std::map<refusal_reason, std::uint64_t> refused;
};

/// \brief Service-level burn of a daemon, or of several merged.
struct burn_report {
    wall_time made;
    std::uint64_t daemons = 0;
    std::vector<burn_line> lines; ///< in the order of service and rank
};

/// \param objectives those of the configuration; a series without one gets the default objective
/// \returns a line for each objective and for each recorded series
[[nodiscard]] burn_report make_burn_report(const snapshot& taken,
                                           const std::vector<burn_objective>& objectives,
                                           wall_time now);

} // namespace cicadahatch::metrics
