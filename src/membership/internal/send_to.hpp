#pragma once

#include "src/membership/gossip_state.hpp"

#include <vector>

namespace cicadahatch::membership::internal {

/// \brief Addresses a message to a member; nothing is sent to one that is not known.
void send_to(const gossip_state& state, const daemon_id& id, rpc::gossip content,
             std::vector<outgoing>& sent);

} // namespace cicadahatch::membership::internal
