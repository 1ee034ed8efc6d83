#include "src/membership/internal/send_to.hpp"

namespace cicadahatch::membership::internal {

void send_to(const gossip_state& state, const daemon_id& id, rpc::gossip content,
             std::vector<outgoing>& sent) {
    if (const member* other = state.members.find(id)) {
        sent.push_back({id, other->record.place, std::move(content)});
    }
}

} // namespace cicadahatch::membership::internal
