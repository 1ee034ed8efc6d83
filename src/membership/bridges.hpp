#pragma once

#include "src/membership/gossip_state.hpp"

#include <vector>

namespace cicadahatch::membership {

/// \brief Bridges between two domains by rendezvous hashing: each side computes the same ones.
/// \param candidates the members of one of the two domains
/// \returns up to bridge_count of them
[[nodiscard]] std::vector<daemon_id> choose_bridges(const domain_id& own, const domain_id& foreign,
                                                    std::vector<daemon_id> candidates);

} // namespace cicadahatch::membership
