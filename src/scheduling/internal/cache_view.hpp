#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/engine.hpp"
#include "src/scheduling/grant.hpp"
#include "src/scheduling/request.hpp"

#include <cstdint>
#include <vector>

namespace cicadahatch::scheduling::internal {

/// \returns the number of prompt tokens that the engine's cache is expected to hold
[[nodiscard]] std::uint32_t cached_tokens(const engine& instance, const request_spec& asked);

/// \brief Applies events in sequence order. A gap clears the view until the next snapshot.
/// \returns false if a snapshot is needed
bool apply_cache_events(engine& instance, const cell_policy& policy,
                        const cache_event_batch& batch);

/// \brief Adds a granted prompt to the engine's cache view before its events arrive.
void expect_cached(engine& instance, const cell_policy& policy,
                   const std::vector<std::uint64_t>& prefix_hashes);

/// \brief Removes expected prefixes that the engine did not find in its cache.
/// \param found_tokens prompt tokens that the engine reports as cache hits
void correct_cached(engine& instance, const live_grant& held, std::uint32_t found_tokens);

} // namespace cicadahatch::scheduling::internal
