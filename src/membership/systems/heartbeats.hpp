#pragma once

#include "src/membership/gossip_state.hpp"

#include <vector>

namespace cicadahatch::membership::systems {

/// \brief Sends this member's heartbeat to its watchers, with those of the members that it watches.
void send_heartbeats(gossip_state& state, time_point now, std::vector<outgoing>& sent);

/// \brief Tells suspicions to the suspect, so that it can answer, and to the neighbours on the
/// ring, among whom are its other watchers: one of them may have a later heartbeat.
void tell_suspicions(gossip_state& state, time_point now, std::vector<outgoing>& sent);

/// \brief Tells members that were declared dead and are not: what they held was given away.
void tell_verdicts(gossip_state& state, std::vector<outgoing>& sent);

} // namespace cicadahatch::membership::systems
