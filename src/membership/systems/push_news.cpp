#include "src/membership/systems/push_news.hpp"

#include "src/membership/constants.hpp"
#include "src/membership/internal/send_to.hpp"

#include <algorithm>

namespace cicadahatch::membership::systems {

namespace {

/// Estimated bytes of a record or value beside its texts.
constexpr std::size_t record_overhead_bytes = 36;
constexpr std::size_t payload_overhead_bytes = 14;

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

} // namespace

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
        internal::send_to(state, target, std::move(content), sent);
    }
    age_rumors(state, carried);
}

} // namespace cicadahatch::membership::systems
