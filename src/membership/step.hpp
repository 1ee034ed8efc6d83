#pragma once

#include "src/core/result.hpp"
#include "src/membership/gossip_state.hpp"

#include <vector>

namespace cicadahatch::membership {

/// \brief Runs all systems once: doubts the silent, declares the dead, sends heartbeats and news.
/// Called every step_period.
/// \param sent messages to send are added here
void step(gossip_state& state, time_point now, std::vector<outgoing>& sent);

/// \brief Spreads a value of this process. The version is raised above the one known if it is
/// not higher.
/// \returns the version under which it is spread
std::uint64_t set_payload(gossip_state& state, payload set, time_point now);

/// \brief Tells everyone that this process takes no new work; it is still watched.
void announce_leaving(gossip_state& state);

/// \brief Tells everyone that this process ends.
/// \param sent messages to send before ending are added here
void announce_left(gossip_state& state, time_point now, std::vector<outgoing>& sent);

} // namespace cicadahatch::membership
