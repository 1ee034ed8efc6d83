#include "src/membership/systems/reach_out.hpp"

#include "src/membership/constants.hpp"
#include "src/membership/internal/send_to.hpp"
#include "src/membership/internal/sync.hpp"

#include <algorithm>

namespace cicadahatch::membership::systems {

namespace {

void add_contacts(const gossip_state& state, time_point now, rpc::gossip& content) {
    for (const contact& entry : state.contacts) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - entry.at);
        content.contacts.push_back({entry.domain, age});
    }
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

bool is_known_place(const gossip_state& state, const http::endpoint& place) {
    return place == state.self.place ||
           std::any_of(state.members.rows().begin(), state.members.rows().end(),
                       [&](const member& other) {
                           return is_present(other.record.status) && other.record.place == place;
                       });
}

} // namespace

void talk_over_bridges(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
    if (now < state.due.bridge) {
        return;
    }
    state.due.bridge = now + state.random.jittered(bridge_period);
    for (const daemon_id& target : state.near.bridges) {
        rpc::gossip content;
        content.self = state.self;
        internal::send_to(state, target, std::move(content), sent);
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
        internal::send_to(state, target, std::move(content), sent);
    }
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

void contact_dead(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
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

void try_seed(gossip_state& state, time_point now, std::vector<outgoing>& sent) {
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

} // namespace cicadahatch::membership::systems
