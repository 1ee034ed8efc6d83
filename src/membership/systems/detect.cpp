#include "src/membership/systems/detect.hpp"

#include "src/membership/constants.hpp"
#include "src/membership/internal/apply.hpp"

#include <algorithm>

namespace cicadahatch::membership::systems {

void notice_own_freeze(gossip_state& state, time_point now) {
    const bool was_frozen = now - state.due.last_step > own_freeze_limit;
    state.due.last_step = now;
    if (!was_frozen) {
        return;
    }
    ++state.counts.own_freezes;
    for (member& other : state.members.rows()) {
        other.watched_since = now;
        if (other.record.status == member_status::suspect) {
            other.status_since = now;
        }
    }
}

void suspect_silent(gossip_state& state, time_point now) {
    for (member& other : state.members.rows()) {
        const time_point last_sign = std::max(other.heard_at, other.watched_since);
        if (other.is_watched && is_trusted(other.record.status) &&
            now - last_sign >= silence_limit) {
            ++state.counts.suspicions;
            internal::judge(state, other, member_status::suspect, now);
        }
    }
}

void declare_dead(gossip_state& state, time_point now) {
    for (member& other : state.members.rows()) {
        const time_point since = std::max(other.status_since, other.watched_since);
        if (other.is_watched && other.record.status == member_status::suspect &&
            now - since >= suspicion_time) {
            ++state.counts.deaths;
            internal::judge(state, other, member_status::dead, now);
        }
    }
}

void forget_dead(gossip_state& state, time_point now) {
    const std::size_t before = state.members.size();
    state.members.erase_if([now](const member& other) {
        return !is_present(other.record.status) && now - other.status_since > dead_kept;
    });
    if (state.members.size() != before) {
        state.near.is_stale = true;
        state.hash.reset();
    }
}

void forget_old_payloads(gossip_state& state, time_point now) {
    const std::size_t before = state.payloads.size();
    state.payloads.erase_if([now](const payload_row& row) {
        const duration kept =
            is_volatile(row.held.kind) ? volatile_payload_kept : lasting_payload_kept;
        return now - row.learnt_at > kept;
    });
    if (state.payloads.size() != before) {
        state.hash.reset();
    }
}

} // namespace cicadahatch::membership::systems
