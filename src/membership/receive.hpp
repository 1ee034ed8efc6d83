#pragma once

#include "src/membership/gossip_state.hpp"

#include <vector>

namespace cicadahatch::membership {

/// \brief Takes in a message of another member. Kinds that are not membership's are ignored.
/// \param sender who sent it, as proved by its link
/// \param sent answers are added here
void receive(gossip_state& state, const daemon_id& sender, const rpc::message& received,
             time_point now, std::vector<outgoing>& sent);

} // namespace cicadahatch::membership
