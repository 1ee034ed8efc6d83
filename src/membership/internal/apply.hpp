#pragma once

#include "src/membership/gossip_state.hpp"

namespace cicadahatch::membership::internal {

/// \brief Takes in a statement on a member, and passes it on if it is news.
void apply_record(gossip_state& state, const member_record& record, time_point now);

/// \brief Takes in a heartbeat of a known member.
/// \param is_direct whether the member itself sent it
void apply_heartbeat(gossip_state& state, const rpc::heartbeat_entry& entry, bool is_direct,
                     time_point now);

/// \brief Takes in a spread value, and passes it on if it is newer than the one held.
void apply_payload(gossip_state& state, payload taken, time_point now);

/// \brief Notes that a domain was reached at a time.
void apply_contact(gossip_state& state, const domain_id& domain, time_point at);

/// \brief Changes a member's status by this process's own judgement, and passes it on.
void judge(gossip_state& state, member& judged, member_status verdict, time_point now);

/// \brief Pushes news on a member or value, from the beginning if they are under way already.
void push(gossip_state& state, std::variant<daemon_id, payload_id> about, int rounds);

/// \brief Raises the own heartbeat and tells everyone.
void assert_self(gossip_state& state);

} // namespace cicadahatch::membership::internal
