#pragma once

#include "src/scheduling/cell_state.hpp"

#include <cstdint>

namespace cicadahatch::scheduling::internal {

/// \brief Corrects the prefill engine's speed or cache view from a finished prefill.
void observe_prefill(cell_state& state, const live_grant& held, std::uint32_t cached_tokens,
                     time_point now);

/// \brief Corrects the decode engine's speed and the service's output length from a finished
/// stream.
void observe_stream(cell_state& state, const live_grant& held, std::uint32_t output_tokens,
                    time_point now);

} // namespace cicadahatch::scheduling::internal
