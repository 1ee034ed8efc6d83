#include "src/membership/internal/apply.hpp"

#include "src/membership/constants.hpp"

#include <algorithm>

namespace cicadahatch::membership::internal {

namespace {

/// Owners raise their heartbeat with each statement, so only others' verdicts repeat one.
bool is_verdict(member_status status) {
    return status == member_status::suspect || status == member_status::dead;
}

event_kind event_of(const member_record& before, const member_record& after) {
    if (after.status == member_status::dead) {
        return event_kind::died;
    }
    if (after.status == member_status::left) {
        return event_kind::left;
    }
    if (after.status == member_status::suspect) {
        return event_kind::suspected;
    }
    if (after.started != before.started || before.status == member_status::left) {
        return event_kind::joined;
    }
    return is_verdict(before.status) ? event_kind::recovered : event_kind::leaving;
}

/// Puts the news on a member before all others.
void push_first(gossip_state& state, const daemon_id& id) {
    std::erase_if(state.rumors, [&](const rumor& entry) {
        const auto* about = std::get_if<daemon_id>(&entry.about);
        return about != nullptr && *about == id;
    });
    state.rumors.insert(state.rumors.begin(), {id, lasting_push_rounds, true});
}

/// A member that was started again before its death was noticed has lost what it held.
void announce_former_death(gossip_state& state, const member_record& before,
                           const member_record& after) {
    const bool is_other_start = before.started != after.started;
    if (is_other_start && is_present(before.status) && is_present(after.status)) {
        member_record former = before;
        former.status = member_status::dead;
        state.events.push_back({event_kind::died, former});
    }
}

void announce_change(gossip_state& state, const member_record& before, const member& changed) {
    const event_kind kind = event_of(before, changed.record);
    announce_former_death(state, before, changed.record);
    state.counts.recoveries += kind == event_kind::recovered ? 1 : 0;
    state.events.push_back({kind, changed.record});
    state.near.is_stale = true;
    state.hash.reset();
    if (before.status == member_status::dead && before.started == changed.record.started) {
        state.verdicts.push_back(before);
    }
    const bool is_among_watchers =
        changed.record.status == member_status::suspect || before.status == member_status::suspect;
    if (!is_present(changed.record.status)) {
        push_first(state, changed.id);
    } else if (!is_among_watchers) {
        push(state, changed.id, lasting_push_rounds);
    }
}

bool is_same_for_others(const member_record& before, const member_record& after) {
    return before.status == after.status && before.started == after.started &&
           before.place == after.place;
}

void apply_to_self(gossip_state& state, const member_record& record) {
    if (record.started > state.self.started) {
        state.events.push_back({event_kind::self_replaced, record});
        return;
    }
    if (record.started != state.self.started || !is_verdict(record.status)) {
        return;
    }
    if (record.status == member_status::dead && record.heartbeat > state.own_death) {
        state.own_death = record.heartbeat;
        state.events.push_back({event_kind::self_declared_dead, record});
    }
    if (record.heartbeat < state.self.heartbeat) {
        return;
    }
    state.self.heartbeat = record.heartbeat;
    assert_self(state);
}

void add_member(gossip_state& state, const member_record& record, time_point now) {
    if (state.members.size() >= max_members) {
        return;
    }
    member added;
    added.id = record.id;
    added.record = record;
    added.heard_at = now;
    added.status_since = now;
    if (record.status == member_status::suspect) {
        added.record.status = member_status::alive;
    }
    if (!is_verdict(added.record.status)) {
        added.own_status = added.record.status;
    }
    state.members.insert(std::move(added));
    if (!is_present(record.status)) {
        return;
    }
    state.events.push_back({event_kind::joined, record});
    state.near.is_stale = true;
    state.hash.reset();
    push(state, record.id, lasting_push_rounds);
}

} // namespace

void push(gossip_state& state, std::variant<daemon_id, payload_id> about, int rounds) {
    const auto known = std::find_if(state.rumors.begin(), state.rumors.end(),
                                    [&](const rumor& entry) { return entry.about == about; });
    if (known != state.rumors.end()) {
        known->rounds_left = rounds;
        return;
    }
    state.rumors.push_back({std::move(about), rounds, false});
}

void assert_self(gossip_state& state) {
    ++state.self.heartbeat;
    state.hash.reset();
    push(state, state.self.id, lasting_push_rounds);
}

void apply_record(gossip_state& state, const member_record& record, time_point now) {
    if (record.id == state.self.id) {
        apply_to_self(state, record);
        return;
    }
    member* known = state.members.find(record.id);
    if (known == nullptr) {
        add_member(state, record, now);
        return;
    }
    if (!is_newer(record, known->record)) {
        if (record.status == member_status::dead && is_newer(known->record, record) &&
            !is_verdict(known->record.status)) {
            push(state, known->id, lasting_push_rounds);
        }
        return;
    }
    if (record.status == member_status::suspect && !known->is_watched) {
        return;
    }
    const member_record before = known->record;
    known->record = record;
    if (before.started != record.started) {
        known->direct_heartbeat = 0;
    }
    if (!is_verdict(record.status)) {
        known->own_status = record.status;
        known->heard_at = now;
    }
    if (is_same_for_others(before, record)) {
        return;
    }
    known->status_since = now;
    announce_change(state, before, *known);
}

void apply_heartbeat(gossip_state& state, const rpc::heartbeat_entry& entry, bool is_direct,
                     time_point now) {
    member* known = state.members.find(entry.id);
    if (known == nullptr || known->record.started != entry.started) {
        return;
    }
    if (is_direct) {
        known->direct_heartbeat = std::max(known->direct_heartbeat, entry.heartbeat);
    }
    if (entry.heartbeat <= known->record.heartbeat) {
        return;
    }
    const member_record before = known->record;
    known->record.heartbeat = entry.heartbeat;
    known->record.status = known->own_status;
    known->heard_at = now;
    if (before.status != known->record.status) {
        known->status_since = now;
        announce_change(state, before, *known);
    }
}

void apply_payload(gossip_state& state, payload taken, time_point now) {
    if (taken.value.size() > max_payload_bytes || taken.key.size() > max_payload_bytes) {
        return;
    }
    const payload_id id = make_payload_id(taken.kind, taken.key);
    payload_row* held = state.payloads.find(id);
    if (held != nullptr && held->held.version >= taken.version) {
        return;
    }
    if (held == nullptr && state.payloads.size() >= max_payloads) {
        return;
    }
    const int rounds = is_volatile(taken.kind) ? volatile_push_rounds : lasting_push_rounds;
    if (held == nullptr) {
        state.payloads.insert({id, std::move(taken), now});
    } else {
        held->held = std::move(taken);
        held->learnt_at = now;
    }
    state.hash.reset();
    push(state, id, rounds);
}

void apply_contact(gossip_state& state, const domain_id& domain, time_point at) {
    if (domain == state.self.domain) {
        return;
    }
    const auto known = std::find_if(state.contacts.begin(), state.contacts.end(),
                                    [&](const contact& entry) { return entry.domain == domain; });
    if (known == state.contacts.end()) {
        state.contacts.push_back({domain, at});
        return;
    }
    known->at = std::max(known->at, at);
}

void judge(gossip_state& state, member& judged, member_status verdict, time_point now) {
    const member_record before = judged.record;
    judged.record.status = verdict;
    judged.status_since = now;
    announce_change(state, before, judged);
}

} // namespace cicadahatch::membership::internal
