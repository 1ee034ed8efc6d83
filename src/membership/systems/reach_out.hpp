#pragma once

#include "src/membership/gossip_state.hpp"

#include <vector>

namespace cicadahatch::membership::systems {

/// \brief Keeps contact with other failure domains and tells neighbours when each was heard of.
void talk_over_bridges(gossip_state& state, time_point now, std::vector<outgoing>& sent);

/// \brief Compares tables with some member now and then.
void compare_tables(gossip_state& state, time_point now, std::vector<outgoing>& sent);

/// \brief Reaches out to members that were declared dead and to domains that are cut off: after a
/// partition they are alive and think the same of this one.
void contact_dead(gossip_state& state, time_point now, std::vector<outgoing>& sent);

/// \brief Tries a seed that is no known member.
void try_seed(gossip_state& state, time_point now, std::vector<outgoing>& sent);

} // namespace cicadahatch::membership::systems
