#pragma once

#include "src/core/clock.hpp"
#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"

#include <vector>

namespace cicadahatch::scheduling::internal {

/// \brief A stream as it fills an engine's memory.
struct growing_stream {
    double kept = 0;  ///< tokens in memory now, the prompt included
    double made = 0;  ///< of these, tokens of the output
    double delay = 0; ///< seconds until it makes more
    length_estimate output;
};

/// \brief Looks ahead whether streams will fit into an engine's memory together.
///
/// Streams grow until they end, at different times, so that all of them at their largest is far
/// more than they ever take at once. Answers bursts of streams on engines whose memory, not
/// their slots, is what runs out.
/// \param capacity in tokens
/// \param rate tokens that each stream makes in a second
/// \param confidence standard deviations of the sum kept free
[[nodiscard]] bool fits(const std::vector<growing_stream>& streams, double capacity, double rate,
                        double confidence);

/// \returns what the cell's own streams of an engine used at a time in the last seconds, in tokens
[[nodiscard]] double own_tokens_at(const cell_state& state, const engine& on, time_point at);

/// \param may_use_reserve whether the part kept for the urgent rank is open too
/// \returns whether the request would fit into the engine beside the streams granted there
[[nodiscard]] bool has_room(const cell_state& state, const cell_policy& policy, const engine& on,
                            const waiting_request& request, bool may_use_reserve, time_point now);

} // namespace cicadahatch::scheduling::internal
