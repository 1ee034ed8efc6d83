#pragma once

#include "src/membership/gossip_state.hpp"

#include <vector>

namespace cicadahatch::membership::systems {

/// \brief Adds to the bytes of news that may be sent.
/// \param passed since the last call
void refill_allowance(gossip_state& state, duration passed);

/// \brief Sends news to some neighbours and to all bridges, within the allowed bytes.
void push_news(gossip_state& state, std::vector<outgoing>& sent);

} // namespace cicadahatch::membership::systems
