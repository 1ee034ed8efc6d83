#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/internal/open_engines.hpp"
#include "src/scheduling/obstacle.hpp"

#include <cstdint>

namespace cicadahatch::scheduling::systems {

/// \brief Where a request would run, or why it can't run now.
struct placement {
    obstacle why = obstacle::none;
    backend_id prefill;
    backend_id decode;
    double prefill_seconds = 0;
    std::uint32_t cached_tokens = 0;
    time_point prefill_begins;
    time_point prefill_ends;
    time_point transfer_begins;
    time_point transfer_ends;
    time_point first_token;
    duration between_tokens{0};
    std::uint32_t pieces = 0;
};

/// \brief Finds the engines of a request's prefill and decode. Reserves nothing.
/// \param may_use_reserve whether the slots kept for urgent work are open to the request
/// \param open the engines that were open when the tick's grants began; closed ones are dropped
[[nodiscard]] placement place(const cell_state& state, const cell_policy& policy,
                              const waiting_request& request, bool may_use_reserve,
                              internal::open_engines& open, time_point now);

} // namespace cicadahatch::scheduling::systems
