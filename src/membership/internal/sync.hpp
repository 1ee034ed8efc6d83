#pragma once

#include "src/membership/gossip_state.hpp"

#include <vector>

namespace cicadahatch::membership::internal {

/// \returns a hash of what the tables say, without heartbeats and values soon replaced; it does
/// not depend on the order of the rows
[[nodiscard]] std::uint32_t table_hash(gossip_state& state);

/// \returns a request to compare tables
[[nodiscard]] rpc::message make_sync_request(gossip_state& state);

/// \brief Adds the whole tables as messages to a peer.
/// \param wants_reply whether the peer is asked for its tables in turn
void append_sync_replies(gossip_state& state, const daemon_id& peer, const http::endpoint& place,
                         bool wants_reply, std::vector<outgoing>& sent);

} // namespace cicadahatch::membership::internal
