#include "src/membership/step.hpp"

#include "src/membership/constants.hpp"
#include "src/membership/internal/apply.hpp"
#include "src/membership/internal/neighbourhood.hpp"
#include "src/membership/internal/sync.hpp"

#include <algorithm>

namespace cicadahatch::membership {

namespace {

/// Estimated bytes of a record or value beside its texts.
constexpr std::size_t record_overhead_bytes = 36;
constexpr std::size_t payload_overhead_bytes = 14;

/// After a stop of this process, the others' silence proves nothing.
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

void doubt_the_silent(gossip_state& state, time_point now) {
    for (member& other : state.members.rows()) {
        const time_point last_sign = std::max(other.heard_at, other.watched_since);
        if (other.is_watched && is_trusted(other.record.status) &&
            now - last_sign >= silence_limit) {
            ++state.counts.suspicions;
            internal::judge(state, other, member_status::suspect, now);
        }
    }
}

void declare_the_dead(gossip_state& state, time_point now) {
    for (member& other : state.members.rows()) {
        const time_point since = std::max(other.status_since, other.watched_since);
        if (other.is_watched && other.record.status == member_status::suspect &&
            now - since >= suspicion_time) {
            ++state.counts.deaths;
            internal::judge(state, other, member_status::dead, now);
        }
    }
}

void forget_the_dead(gossip_state& state, time_point now) {
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

std::size_t estimated_bytes(const member_record& record) {
    return record.id.str().size() + record.domain.str().size() + record.place.host.size() +
           record_overhead_bytes;
}

std::size_t estimated_bytes(const payload& value) {
    return value.key.size() + value.value.size() + payload_overhead_bytes;
}

/// What of the rumors went into a message.
struct news_added {
    std::size_t bytes = record_overhead_bytes;
    std::size_t rumors = 0;
};

/// Adds news to a message until it is full; over the bound on bytes, only what is urgent.
news_added add_news(const gossip_state& state, bool is_foreign, rpc::gossip& content) {
    news_added added;
    for (const rumor& entry : state.rumors) {
        const bool is_held_back = state.push_allowance <= 0 && !entry.is_urgent;
        if (added.bytes >= max_push_bytes || is_held_back) {
            break;
        }
        ++added.rumors;
        if (const auto* id = std::get_if<daemon_id>(&entry.about)) {
            const member* other = state.members.find(*id);
            if (other != nullptr) {
                added.bytes += estimated_bytes(other->record);
                content.members.push_back(other->record);
            }
            continue;
        }
        const payload_row* row = state.payloads.find(std::get<payload_id>(entry.about));
        if (row != nullptr && (!is_foreign || is_wide(row->held.kind))) {
            added.bytes += estimated_bytes(row->held);
            content.payloads.push_back(row->held);
        }
    }
    return added;
}

void add_contacts(const gossip_state& state, time_point now, rpc::gossip& content) {
    for (const contact& entry : state.contacts) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.at);
        content.contacts.push_back({entry.domain, age});
    }
}

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

void send_to(const gossip_state& state, const daemon_id& id, rpc::gossip content,
             std::vector<outgoing>& sent) {
    if (const member* other = state.members.find(id)) {
        sent.push_back({id, other->record.place, std::move(content)});
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
        send_to(state, target, std::move(content), sent);
    }
}

void talk_over_bridges(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    if (now < state.due.bridge) {
        return;
    }
    state.due.bridge = now + state.random.jittered(bridge_period);
    for (const daemon_id& target : state.near.bridges) {
        rpc::gossip content;
        content.self = state.self;
        send_to(state, target, std::move(content), sent);
    }
    std::vector<daemon_id> neighbours = state.near.successors;
    neighbours.insert(neighbours.end(), state.near.relays.begin(), state.near.relays.end());
    if (state.contacts.empty()) {
        return;
    }
    for (const daemon_id& target : neighbours) {
        rpc::gossip content;
        content.self = state.self;
        add_contacts(state, now, content);
        send_to(state, target, std::move(content), sent);
    }
}

/// A suspicion goes to the suspect, so that it can answer, and to the neighbours on the ring,
/// among whom are its other watchers: one of them may have a later heartbeat.
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
        send_to(state, target, content, sent);
    }
}

/// A member that was declared dead and is not must learn of it: what it held was given away.
void tell_verdicts(gossip_state& state, std::vector<outgoing>& sent) {
    for (const member_record& verdict : state.verdicts) {
        rpc::gossip content;
        content.self = state.self;
        content.members.push_back(verdict);
        send_to(state, verdict.id, std::move(content), sent);
    }
    state.verdicts.clear();
}

/// Draws peers among successors and relays; bridges always get the news too.
std::vector<daemon_id> push_targets(gossip_state& state) {
    std::vector<daemon_id> candidates = state.near.successors;
    candidates.insert(candidates.end(), state.near.relays.begin(), state.near.relays.end());
    std::vector<daemon_id> chosen;
    while (chosen.size() < push_fanout && !candidates.empty()) {
        const std::size_t index = state.random.below(candidates.size());
        chosen.push_back(std::move(candidates[index]));
        candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
    }
    chosen.insert(chosen.end(), state.near.bridges.begin(), state.near.bridges.end());
    return chosen;
}

/// Each message takes the rumors in their order; the ones that did not fit move to the front.
void age_rumors(gossip_state& state, std::size_t carried) {
    const std::size_t served = std::min(carried, state.rumors.size());
    for (std::size_t index = 0; index < served; ++index) {
        --state.rumors[index].rounds_left;
    }
    std::rotate(state.rumors.begin(), state.rumors.begin() + static_cast<std::ptrdiff_t>(served),
                state.rumors.end());
    std::erase_if(state.rumors, [](const rumor& entry) { return entry.rounds_left <= 0; });
    std::stable_partition(state.rumors.begin(), state.rumors.end(),
                          [](const rumor& entry) { return entry.is_urgent; });
}

void refill_allowance(gossip_state& state, duration passed) {
    const double seconds = std::chrono::duration<double>(passed).count();
    state.push_allowance =
        std::min(push_burst_bytes, state.push_allowance + seconds * push_bytes_per_second);
}

void push_news(gossip_state& state, std::vector<outgoing>& sent) {
    if (state.rumors.empty()) {
        return;
    }
    if (state.push_allowance <= 0 && !state.rumors.front().is_urgent) {
        ++state.counts.pushes_held_back;
        return;
    }
    const std::vector<daemon_id> targets = push_targets(state);
    std::size_t carried = 0;
    for (const daemon_id& target : targets) {
        const member* other = state.members.find(target);
        if (other == nullptr) {
            continue;
        }
        rpc::gossip content;
        content.self = state.self;
        const bool is_foreign = other->record.domain != state.self.domain;
        const news_added added = add_news(state, is_foreign, content);
        if (is_foreign && content.members.empty() && content.payloads.empty()) {
            continue;
        }
        carried = std::max(carried, added.rumors);
        state.push_allowance -= static_cast<double>(added.bytes);
        send_to(state, target, std::move(content), sent);
    }
    age_rumors(state, carried);
}

template <class Predicate>
const member* pick_member(gossip_state& state, Predicate is_wanted) {
    std::vector<const member*> candidates;
    for (const member& other : state.members.rows()) {
        if (is_wanted(other)) {
            candidates.push_back(&other);
        }
    }
    return candidates.empty() ? nullptr : candidates[state.random.below(candidates.size())];
}

void compare_tables(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    if (now < state.due.sync) {
        return;
    }
    state.due.sync = now + state.random.jittered(sync_period);
    const auto& bridges = state.near.bridges;
    const member* peer = pick_member(state, [&](const member& other) {
        const bool is_bridge = std::find(bridges.begin(), bridges.end(), other.id) != bridges.end();
        return is_trusted(other.record.status) &&
               (is_bridge || other.record.domain == state.self.domain);
    });
    if (peer != nullptr) {
        sent.push_back({peer->id, peer->record.place, internal::make_sync_request(state)});
    }
}

/// While a domain is cut off its bridges may all have been replaced: any of its members will do.
void retry_cut_domains(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    for (const contact& entry : state.contacts) {
        if (now - entry.at <= domain_cut_limit || !state.random.chance(cut_retry_chance)) {
            continue;
        }
        const member* peer = pick_member(state, [&](const member& other) {
            return other.record.domain == entry.domain && is_present(other.record.status);
        });
        if (peer != nullptr) {
            sent.push_back({peer->id, peer->record.place, internal::make_sync_request(state)});
        }
    }
}

/// Reaches out to a member declared dead: after a partition it is alive and thinks the same.
void contact_the_dead(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    if (now < state.due.dead_contact) {
        return;
    }
    state.due.dead_contact = now + state.random.jittered(dead_contact_period);
    retry_cut_domains(state, now, sent);
    const member* peer = pick_member(
        state, [](const member& other) { return other.record.status == member_status::dead; });
    if (peer != nullptr) {
        sent.push_back({peer->id, peer->record.place, internal::make_sync_request(state)});
    }
}

bool is_known_place(const gossip_state& state, const http::endpoint& place) {
    return place == state.self.place ||
           std::any_of(state.members.rows().begin(), state.members.rows().end(),
                       [&](const member& other) {
                           return is_present(other.record.status) && other.record.place == place;
                       });
}

void try_a_seed(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    if (now < state.due.seed) {
        return;
    }
    const duration period = state.members.empty() ? lonely_seed_period : seed_period;
    state.due.seed = now + state.random.jittered(period);
    std::vector<http::endpoint> unknown;
    std::copy_if(state.seeds.begin(), state.seeds.end(), std::back_inserter(unknown),
                 [&](const http::endpoint& place) { return !is_known_place(state, place); });
    if (!unknown.empty()) {
        const std::size_t index = state.random.below(unknown.size());
        sent.push_back({daemon_id{}, unknown[index], internal::make_sync_request(state)});
    }
}

} // namespace

void step(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    refill_allowance(state, now - state.due.last_step);
    notice_own_freeze(state, now);
    internal::refresh_neighbourhood(state, now);
    doubt_the_silent(state, now);
    declare_the_dead(state, now);
    forget_the_dead(state, now);
    forget_old_payloads(state, now);
    internal::refresh_neighbourhood(state, now);
    send_heartbeats(state, now, sent);
    tell_suspicions(state, now, sent);
    tell_verdicts(state, sent);
    talk_over_bridges(state, now, sent);
    push_news(state, sent);
    compare_tables(state, now, sent);
    contact_the_dead(state, now, sent);
    try_a_seed(state, now, sent);
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
        send_to(state, target, std::move(content), sent);
    }
}

} // namespace cicadahatch::membership
