#include "src/membership/internal/neighbourhood.hpp"

#include "src/core/hash.hpp"
#include "src/membership/bridges.hpp"
#include "src/membership/constants.hpp"

#include <algorithm>
#include <map>

namespace cicadahatch::membership::internal {

namespace {

struct position {
    std::uint64_t hash = 0;
    daemon_id id;
    bool is_trusted = false;

    friend bool operator<(const position& left, const position& right) {
        return std::tie(left.hash, left.id) < std::tie(right.hash, right.id);
    }
};

position position_of(const daemon_id& id, bool trusted) {
    return {stable_hash(id.str()), id, trusted};
}

/// The other present members of the own domain, in ring order beginning after this process.
std::vector<position> ring_after_self(const gossip_state& state) {
    std::vector<position> ring;
    for (const member& other : state.members.rows()) {
        if (other.record.domain == state.self.domain && is_present(other.record.status)) {
            ring.push_back(position_of(other.id, is_trusted(other.record.status)));
        }
    }
    std::sort(ring.begin(), ring.end());
    const auto after = std::upper_bound(ring.begin(), ring.end(), position_of(state.self.id, true));
    std::rotate(ring.begin(), after, ring.end());
    return ring;
}

/// Walks until enough members that nobody doubts were met; the doubted ones on the way belong
/// to the result as well.
template <class Iterator>
std::vector<daemon_id> walk(Iterator from, Iterator end) {
    std::vector<daemon_id> met;
    std::size_t trusted = 0;
    for (; from != end && trusted < watcher_count; ++from) {
        met.push_back(from->id);
        trusted += from->is_trusted ? 1 : 0;
    }
    return met;
}

/// Members spread evenly by a hash of the pair, so that the graph of relays is random but stays.
std::vector<daemon_id> choose_relays(const gossip_state& state, const std::vector<position>& ring,
                                     const std::vector<daemon_id>& successors) {
    const std::uint64_t own = stable_hash(state.self.id.str());
    std::vector<position> candidates;
    for (const position& other : ring) {
        const bool is_near =
            std::find(successors.begin(), successors.end(), other.id) != successors.end();
        if (other.is_trusted && !is_near) {
            candidates.push_back({stable_hash(other.id.str(), own), other.id, true});
        }
    }
    const std::size_t count = std::min(relay_count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end());
    std::vector<daemon_id> chosen;
    for (std::size_t index = 0; index < count; ++index) {
        chosen.push_back(candidates[index].id);
    }
    return chosen;
}

/// Foreign members to talk to, from the domains for which this process is a bridge.
std::vector<daemon_id> choose_bridge_peers(const gossip_state& state,
                                           const std::vector<position>& ring) {
    std::vector<daemon_id> own{state.self.id};
    for (const position& other : ring) {
        own.push_back(other.id);
    }
    std::map<domain_id, std::vector<daemon_id>> foreign;
    for (const member& other : state.members.rows()) {
        if (other.record.domain != state.self.domain && is_present(other.record.status)) {
            foreign[other.record.domain].push_back(other.id);
        }
    }
    std::vector<daemon_id> peers;
    for (auto& [domain, members] : foreign) {
        const auto bridges = choose_bridges(state.self.domain, domain, own);
        if (std::find(bridges.begin(), bridges.end(), state.self.id) == bridges.end()) {
            continue;
        }
        const auto chosen = choose_bridges(domain, state.self.domain, std::move(members));
        peers.insert(peers.end(), chosen.begin(), chosen.end());
    }
    return peers;
}

void update_watches(gossip_state& state, time_point now) {
    const auto& watched = state.near.predecessors;
    for (member& other : state.members.rows()) {
        const bool is_watched =
            std::find(watched.begin(), watched.end(), other.id) != watched.end();
        if (is_watched && !other.is_watched) {
            other.watched_since = now;
        }
        other.is_watched = is_watched;
    }
}

} // namespace

void refresh_neighbourhood(gossip_state& state, time_point now) {
    if (!state.near.is_stale) {
        return;
    }
    const std::vector<position> ring = ring_after_self(state);
    state.near.successors = walk(ring.begin(), ring.end());
    state.near.predecessors = walk(ring.rbegin(), ring.rend());
    state.near.relays = choose_relays(state, ring, state.near.successors);
    state.near.bridges = choose_bridge_peers(state, ring);
    state.near.is_stale = false;
    update_watches(state, now);
}

} // namespace cicadahatch::membership::internal
