#pragma once

#include "src/membership/gossip_state.hpp"

namespace cicadahatch::membership::systems {

/// \brief Notices a stop of this process, after which the others' silence proves nothing.
void notice_own_freeze(gossip_state& state, time_point now);

/// \brief Suspects watched members that have been silent for too long.
void suspect_silent(gossip_state& state, time_point now);

/// \brief Declares suspects dead that have shown no later heartbeat in time.
void declare_dead(gossip_state& state, time_point now);

/// \brief Forgets members that have been gone for long.
void forget_dead(gossip_state& state, time_point now);

/// \brief Forgets spread values without a newer version for long.
void forget_old_payloads(gossip_state& state, time_point now);

} // namespace cicadahatch::membership::systems
