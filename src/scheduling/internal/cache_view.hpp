#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/engine.hpp"
#include "src/scheduling/grant.hpp"
#include "src/scheduling/request.hpp"

#include <cstdint>
#include <vector>

namespace cicadahatch::scheduling::internal {

/// \returns how many tokens of the prompt the engine probably holds
[[nodiscard]] std::uint32_t cached_tokens(const engine& on, const request_spec& asked);

/// \brief Applies events in sequence; a gap drops the view until a snapshot comes.
/// \returns false if a snapshot is wanted
bool apply_cache_events(engine& on, const cell_policy& policy, const cache_event_batch& batch);

/// \brief Notes that a prompt will be in the engine's cache.
void expect_cached(engine& on, const cell_policy& policy,
                   const std::vector<std::uint64_t>& prefix_hashes);

/// \brief Corrects the view by what the engine says that it had of a prompt.
void correct_cached(engine& on, const live_grant& held, std::uint32_t found_tokens);

} // namespace cicadahatch::scheduling::internal
