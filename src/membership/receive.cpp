#include "src/membership/receive.hpp"

#include "src/membership/constants.hpp"
#include "src/membership/internal/apply.hpp"
#include "src/membership/internal/sync.hpp"

#include <algorithm>

namespace cicadahatch::membership {

namespace {

using internal::apply_contact;
using internal::apply_heartbeat;
using internal::apply_payload;
using internal::apply_record;

/// A member that doubts this process is sent heartbeats for a while, since its ring may differ.
void note_doubter(gossip_state& state, const daemon_id& sender, const member_record& record,
                  time_point now) {
    if (record.id != state.self.id || is_trusted(record.status)) {
        return;
    }
    const auto known = std::find_if(state.demands.begin(), state.demands.end(),
                                    [&](const demand& entry) { return entry.by == sender; });
    if (known == state.demands.end()) {
        state.demands.push_back({sender, now + demand_time});
    } else {
        known->until = now + demand_time;
    }
}

void note_sender(gossip_state& state, const member_record& sender, time_point now) {
    apply_record(state, sender, now);
    apply_heartbeat(state, {sender.id, sender.started, sender.heartbeat}, true, now);
    apply_contact(state, sender.domain, now);
}

/// A doubt that this process can dispel is answered at once, to the doubting member itself.
void answer_doubts(const gossip_state& state, const rpc::gossip& received,
                   std::vector<outgoing>& sent) {
    rpc::gossip answer;
    bool is_self_doubted = false;
    for (const member_record& record : received.members) {
        if (record.status != member_status::suspect && record.status != member_status::dead) {
            continue;
        }
        is_self_doubted = is_self_doubted || record.id == state.self.id;
        const member* known = state.members.find(record.id);
        if (known != nullptr && is_trusted(known->record.status) &&
            is_newer(known->record, record)) {
            answer.members.push_back(known->record);
        }
    }
    if (is_self_doubted || !answer.members.empty()) {
        answer.self = state.self;
        sent.push_back({received.self.id, received.self.place, std::move(answer)});
    }
}

/// News may still be under way; only a difference that lasts is repaired.
void notice_difference(gossip_state& state, member& sender, std::uint32_t hash, time_point now,
                       std::vector<outgoing>& sent) {
    const bool differs = hash != internal::table_hash(state);
    if (!differs || !sender.differs) {
        sender.differs = differs;
        sender.differs_since = now;
        return;
    }
    if (now - sender.differs_since >= difference_limit && now >= state.due.repair) {
        state.due.repair = now + state.random.jittered(repair_pause);
        sent.push_back({sender.id, sender.record.place, internal::make_sync_request(state)});
    }
}

void receive_gossip(gossip_state& state, const daemon_id& sender, const rpc::gossip& received,
                    time_point now, std::vector<outgoing>& sent) {
    if (received.self.id != sender || sender == state.self.id) {
        return;
    }
    note_sender(state, received.self, now);
    for (const rpc::heartbeat_entry& entry : received.heartbeats) {
        apply_heartbeat(state, entry, false, now);
    }
    for (const rpc::domain_contact& entry : received.contacts) {
        apply_contact(state, entry.domain, now - entry.age);
    }
    for (const member_record& record : received.members) {
        note_doubter(state, sender, record, now);
        apply_record(state, record, now);
    }
    for (const payload& entry : received.payloads) {
        apply_payload(state, entry, now);
    }
    answer_doubts(state, received, sent);
    member* known = state.members.find(sender);
    if (received.table_hash != 0 && known != nullptr) {
        notice_difference(state, *known, received.table_hash, now, sent);
    }
}

void receive_sync_request(gossip_state& state, const daemon_id& sender,
                          const rpc::sync_request& received, time_point now,
                          std::vector<outgoing>& sent) {
    if (received.self.id != sender || sender == state.self.id) {
        return;
    }
    note_sender(state, received.self, now);
    if (received.table_hash == internal::table_hash(state) || now < state.due.sync_reply) {
        return;
    }
    state.due.sync_reply = now + sync_reply_pause;
    ++state.counts.syncs;
    internal::append_sync_replies(state, sender, received.self.place, true, sent);
}

void receive_sync_reply(gossip_state& state, const daemon_id& sender,
                        const rpc::sync_reply& received, time_point now,
                        std::vector<outgoing>& sent) {
    for (const member_record& record : received.members) {
        note_doubter(state, sender, record, now);
        apply_record(state, record, now);
    }
    for (const payload& entry : received.payloads) {
        apply_payload(state, entry, now);
    }
    const member* known = state.members.find(sender);
    if (known != nullptr) {
        apply_contact(state, known->record.domain, now);
    }
    if (received.wants_reply && known != nullptr) {
        internal::append_sync_replies(state, sender, known->record.place, false, sent);
    }
}

} // namespace

void receive(gossip_state& state, const daemon_id& sender, const rpc::message& received,
             time_point now, std::vector<outgoing>& sent) {
    if (const auto* gossip = std::get_if<rpc::gossip>(&received)) {
        receive_gossip(state, sender, *gossip, now, sent);
    } else if (const auto* request = std::get_if<rpc::sync_request>(&received)) {
        receive_sync_request(state, sender, *request, now, sent);
    } else if (const auto* reply = std::get_if<rpc::sync_reply>(&received)) {
        receive_sync_reply(state, sender, *reply, now, sent);
    }
}

} // namespace cicadahatch::membership
