#pragma once

#include "src/core/clock.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

#include <vector>

namespace cicadahatch::scheduling::internal {

/// \brief Current and expected memory use of a stream.
struct stream_forecast {
    double memory_tokens = 0; ///< tokens in memory, including the prompt
    double output_tokens = 0; ///< output tokens so far
    double delay_seconds = 0; ///< seconds until the next output token
    length_estimate output;
};

/// \brief Forecasts whether streams fit into an engine's memory together.
///
/// Streams grow and end at different times, so the sum of their maximum sizes far exceeds their
/// peak memory use. The forecast allows more streams on engines that are limited by memory and not
/// by slots, for example in a burst.
/// \param capacity memory, in tokens
/// \param rate output tokens per second of each stream
/// \param confidence standard deviations of the sum kept free
[[nodiscard]] bool fits(const std::vector<stream_forecast>& streams, double capacity, double rate,
                        double confidence);

/// \returns the memory use, in tokens, of the cell's own streams on an engine at a recent time
[[nodiscard]] double own_tokens_at(const cell_state& state, const engine& instance, time_point at);

/// \param may_use_reserve whether the request may use the reserve for first-priority work
/// \returns whether the request fits into the engine's memory together with the granted streams
[[nodiscard]] bool fits_in_memory(const cell_state& state, const cell_policy& policy,
                                  const engine& instance, const waiting_request& request,
                                  bool may_use_reserve, time_point now);

} // namespace cicadahatch::scheduling::internal
