#include "src/membership/step.hpp"

#include "src/membership/internal/apply.hpp"
#include "src/membership/internal/neighbourhood.hpp"
#include "src/membership/internal/send_to.hpp"
#include "src/membership/systems/detect.hpp"
#include "src/membership/systems/heartbeats.hpp"
#include "src/membership/systems/push_news.hpp"
#include "src/membership/systems/reach_out.hpp"

namespace cicadahatch::membership {

void step(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    systems::refill_allowance(state, now - state.due.last_step);
    systems::notice_own_freeze(state, now);
    internal::refresh_neighbourhood(state, now);
    systems::suspect_silent(state, now);
    systems::declare_dead(state, now);
    systems::forget_dead(state, now);
    systems::forget_old_payloads(state, now);
    internal::refresh_neighbourhood(state, now);
    systems::send_heartbeats(state, now, sent);
    systems::tell_suspicions(state, now, sent);
    systems::tell_verdicts(state, sent);
    systems::talk_over_bridges(state, now, sent);
    systems::push_news(state, sent);
    systems::compare_tables(state, now, sent);
    systems::contact_dead(state, now, sent);
    systems::try_seed(state, now, sent);
}

std::uint64_t set_payload(gossip_state& state, payload set, time_point now) {
    const payload_row* held = state.payloads.find(make_payload_id(set.kind, set.key));
    if (held != nullptr && held->held.version >= set.version) {
        if (held->held.value == set.value) {
            return held->held.version;
        }
        set.version = held->held.version + 1;
    }
    const std::uint64_t version = set.version;
    internal::apply_payload(state, std::move(set), now);
    return version;
}

void announce_leaving(gossip_state& state) {
    state.self.status = member_status::leaving;
    internal::assert_self(state);
}

void announce_left(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    state.self.status = member_status::left;
    ++state.self.heartbeat;
    internal::refresh_neighbourhood(state, now);
    std::vector<daemon_id> targets = state.near.successors;
    targets.insert(targets.end(), state.near.relays.begin(), state.near.relays.end());
    targets.insert(targets.end(), state.near.bridges.begin(), state.near.bridges.end());
    for (const daemon_id& target : targets) {
        rpc::gossip content;
        content.self = state.self;
        internal::send_to(state, target, std::move(content), sent);
    }
}

} // namespace cicadahatch::membership
