#pragma once

#include "src/scheduling/cell_policy.hpp"
#include "src/scheduling/cell_state.hpp"
#include "src/scheduling/internal/available_engines.hpp"
#include "src/scheduling/obstacle.hpp"

#include <cstdint>

namespace cicadahatch::scheduling::systems {

/// \brief Engines and predicted times of a request, or the obstacle to its placement.
struct placement {
    obstacle blocked_by = obstacle::none;
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

/// \brief Chooses engines for a request's prefill and decode. Reserves nothing.
/// \param may_use_reserve whether the request may use the slots reserved for first-priority work
/// \param available engines available at the start of the tick; full ones are removed
[[nodiscard]] placement place(const cell_state& state, const cell_policy& policy,
                              const waiting_request& request, bool may_use_reserve,
                              internal::available_engines& available, time_point now);

} // namespace cicadahatch::scheduling::systems
