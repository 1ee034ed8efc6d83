#pragma once

#include "src/membership/gossip_state.hpp"

namespace cicadahatch::membership::internal {

/// \brief Rebuilds the ring positions if they are stale, and starts or ends watching.
void refresh_neighbourhood(gossip_state& state, time_point now);

} // namespace cicadahatch::membership::internal
