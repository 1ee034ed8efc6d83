#include "src/membership/systems/heartbeats.hpp"

#include "src/membership/constants.hpp"
#include "src/membership/internal/send_to.hpp"
#include "src/membership/internal/sync.hpp"

#include <algorithm>

namespace cicadahatch::membership::systems {

namespace {

/// Heartbeats that came from the members themselves; those relayed already are not relayed on,
/// so a heartbeat arrives at most one period late.
void add_heartbeats(const gossip_state& state, const daemon_id& receiver, rpc::gossip& content) {
    for (const daemon_id& id : state.near.predecessors) {
        const member* other = state.members.find(id);
        if (other != nullptr && id != receiver && other->direct_heartbeat != 0 &&
            other->direct_heartbeat == other->record.heartbeat) {
            content.heartbeats.push_back({id, other->record.started, other->direct_heartbeat});
        }
    }
}

std::vector<daemon_id> heartbeat_targets(gossip_state& state, time_point now) {
    std::vector<daemon_id> targets = state.near.successors;
    std::erase_if(state.demands, [now](const demand& entry) { return entry.until <= now; });
    for (const demand& entry : state.demands) {
        if (std::find(targets.begin(), targets.end(), entry.by) == targets.end()) {
            targets.push_back(entry.by);
        }
    }
    return targets;
}

} // namespace

void send_heartbeats(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    if (now < state.due.heartbeat) {
        return;
    }
    state.due.heartbeat = now + heartbeat_period;
    ++state.self.heartbeat;
    const std::uint32_t hash = internal::table_hash(state);
    for (const daemon_id& target : heartbeat_targets(state, now)) {
        rpc::gossip content;
        content.self = state.self;
        content.table_hash = hash;
        add_heartbeats(state, target, content);
        internal::send_to(state, target, std::move(content), sent);
    }
}

void tell_suspicions(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    if (now < state.due.suspicion) {
        return;
    }
    rpc::gossip content;
    content.self = state.self;
    for (const member& other : state.members.rows()) {
        if (other.is_watched && other.record.status == member_status::suspect) {
            content.members.push_back(other.record);
        }
    }
    if (content.members.empty()) {
        return;
    }
    state.due.suspicion = now + heartbeat_period;
    std::vector<daemon_id> targets = state.near.predecessors;
    targets.insert(targets.end(), state.near.successors.begin(), state.near.successors.end());
    for (const daemon_id& target : targets) {
        internal::send_to(state, target, content, sent);
    }
}

void tell_verdicts(gossip_state& state, std::vector<outgoing>& sent) {
    for (const member_record& verdict : state.verdicts) {
        rpc::gossip content;
        content.self = state.self;
        content.members.push_back(verdict);
        internal::send_to(state, verdict.id, std::move(content), sent);
    }
    state.verdicts.clear();
}

} // namespace cicadahatch::membership::systems
