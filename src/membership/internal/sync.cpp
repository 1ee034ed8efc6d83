#include "src/membership/internal/sync.hpp"

#include "src/core/hash.hpp"
#include "src/membership/constants.hpp"

namespace cicadahatch::membership::internal {

namespace {

/// Suspicions are a matter of the watchers and stay out of the hash, and so do the dead, who
/// are forgotten at different times.
std::uint64_t hash_of(const member_record& record, member_status own_status) {
    if (!is_present(record.status)) {
        return 0;
    }
    const bool is_leaving = own_status == member_status::leaving;
    return stable_hash(record.id.str(), record.started.value() * 2 + (is_leaving ? 1U : 0U));
}

} // namespace

std::uint32_t table_hash(gossip_state& state) {
    if (state.hash) {
        return *state.hash;
    }
    std::uint64_t sum = hash_of(state.self, state.self.status);
    for (const member& other : state.members.rows()) {
        sum += hash_of(other.record, other.own_status);
    }
    for (const payload_row& row : state.payloads.rows()) {
        sum += is_volatile(row.held.kind) ? 0 : stable_hash(row.id.str(), row.held.version);
    }
    state.hash = static_cast<std::uint32_t>(sum);
    return *state.hash;
}

rpc::message make_sync_request(gossip_state& state) {
    return rpc::sync_request{state.self, table_hash(state)};
}

void append_sync_replies(gossip_state& state, const daemon_id& peer, const http::endpoint& place,
                         bool wants_reply, std::vector<outgoing>& sent) {
    rpc::sync_reply part{table_hash(state), wants_reply, {state.self}, {}};
    const auto send_part = [&] {
        sent.push_back({peer, place, part});
        part = {part.table_hash, false, {}, {}};
    };
    for (const member& other : state.members.rows()) {
        part.members.push_back(other.record);
        if (part.members.size() >= sync_records_per_message) {
            send_part();
        }
    }
    for (const payload_row& row : state.payloads.rows()) {
        if (is_volatile(row.held.kind)) {
            continue;
        }
        part.payloads.push_back(row.held);
        if (part.payloads.size() >= sync_records_per_message) {
            send_part();
        }
    }
    send_part();
}

} // namespace cicadahatch::membership::internal
