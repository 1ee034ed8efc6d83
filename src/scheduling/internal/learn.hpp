#pragma once

#include "src/scheduling/cell_state.hpp"

#include <cstdint>

namespace cicadahatch::scheduling::internal {

/// \brief Corrects the prefill engine's speed and cache view by a finished prefill.
void learn_prefill(cell_state& state, const live_grant& held, std::uint32_t cached_tokens,
                   time_point now);

/// \brief Corrects the decode engine's speed and the service's answer length by an ended stream.
void learn_stream(cell_state& state, const live_grant& held, std::uint32_t output_tokens,
                  time_point now);

} // namespace cicadahatch::scheduling::internal
