#include "test/support/gossip_network.hpp"

#include <algorithm>

namespace cicadahatch::test_support {

namespace {

constexpr std::chrono::milliseconds resolution{5};
constexpr std::size_t steps_apart = membership::step_period / resolution;

} // namespace

std::size_t gossip_network::start(const std::string& name, const std::string& domain,
                                  const std::vector<std::size_t>& seeds) {
    const std::size_t index = nodes.size();
    membership::member_record self;
    self.id = daemon_id{name};
    self.domain = domain_id{domain};
    self.place = {"10.0.0.1", static_cast<std::uint16_t>(index + 1)};
    self.started = incarnation{index + 1};
    std::vector<http::endpoint> places;
    places.reserve(seeds.size());
    for (const std::size_t seed : seeds) {
        places.push_back({"10.0.0.1", static_cast<std::uint16_t>(seed + 1)});
    }
    nodes.push_back(std::make_unique<node>(
        node{membership::make_gossip_state(self, places, random_.below(UINT64_MAX), now()),
             true,
             now(),
             {},
             0,
             0}));
    return index;
}

void gossip_network::start_many(std::size_t count, const std::string& prefix,
                                const std::string& domain, const std::vector<std::size_t>& seeds) {
    for (std::size_t number = 0; number < count; ++number) {
        start(prefix + std::to_string(number), domain, seeds);
    }
}

void gossip_network::freeze(std::size_t index, duration how_long) {
    nodes[index]->frozen_until = now() + how_long;
}

void gossip_network::run_for(duration how_long) {
    const time_point end = now() + how_long;
    while (now() < end) {
        tick();
    }
}

std::optional<duration> gossip_network::run_until(const std::function<bool()>& condition,
                                                  duration limit) {
    const time_point begin = now();
    while (now() - begin <= limit) {
        if (condition()) {
            return now() - begin;
        }
        run_for(membership::step_period);
    }
    return std::nullopt;
}

void gossip_network::tick() {
    clock_.advance(resolution);
    deliver_due();
    step_due();
}

void gossip_network::deliver_due() {
    while (!wire_.empty() && wire_.begin()->first <= now()) {
        in_flight arriving = std::move(wire_.begin()->second);
        wire_.erase(wire_.begin());
        node& receiver = *nodes[arriving.to];
        if (!receiver.is_running) {
            continue;
        }
        if (receiver.frozen_until > now()) {
            wire_.emplace(receiver.frozen_until, std::move(arriving));
            continue;
        }
        std::vector<membership::outgoing> sent;
        membership::receive(receiver.state, nodes[arriving.from]->state.self.id, arriving.content,
                            now(), sent);
        send_all(arriving.to, sent);
    }
}

void gossip_network::step_due() {
    const auto ticks = static_cast<std::size_t>(now().time_since_epoch() / resolution);
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        node& running = *nodes[index];
        const bool is_due = (ticks + index) % steps_apart == 0;
        if (!is_due || !running.is_running || running.frozen_until > now()) {
            continue;
        }
        std::vector<membership::outgoing> sent;
        membership::step(running.state, now(), sent);
        send_all(index, sent);
        auto& events = running.state.events;
        running.events.insert(running.events.end(), events.begin(), events.end());
        events.clear();
    }
}

void gossip_network::send_all(std::size_t from, const std::vector<membership::outgoing>& sent) {
    for (const membership::outgoing& entry : sent) {
        nodes[from]->bytes_sent += rpc::encode_batch({1, {entry.content}}).size();
        ++nodes[from]->messages_sent;
        const std::size_t to = entry.place.port - 1UL;
        const bool is_meant = entry.peer.empty() || entry.peer == nodes[to]->state.self.id;
        if (is_meant && (!is_cut || !is_cut(from, to))) {
            put_on_wire(from, to, entry.content);
        }
    }
}

void gossip_network::put_on_wire(std::size_t from, std::size_t to, const rpc::message& content) {
    const int copies = random_.chance(faults.duplication) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        if (random_.chance(faults.loss)) {
            continue;
        }
        const auto spread =
            static_cast<std::uint64_t>((faults.max_delay - faults.min_delay).count());
        const std::chrono::milliseconds delay =
            faults.min_delay + std::chrono::milliseconds{random_.below(spread + 1)};
        wire_.emplace(now() + delay, in_flight{from, to, content});
    }
}

membership::member_status gossip_network::status(std::size_t seen_by, std::size_t of) const {
    const membership::member* row = nodes[seen_by]->state.members.find(nodes[of]->state.self.id);
    const bool is_known = row != nullptr && row->record.started == nodes[of]->state.self.started;
    return is_known ? row->record.status : membership::member_status::dead;
}

bool gossip_network::is_agreed() const {
    for (std::size_t seer = 0; seer < nodes.size(); ++seer) {
        for (std::size_t seen = 0; is_running(seer) && seen < nodes.size(); ++seen) {
            const bool is_trusted = membership::is_trusted(status(seer, seen));
            if (seer != seen && is_trusted != is_running(seen)) {
                return false;
            }
        }
    }
    return true;
}

std::size_t gossip_network::count_events(membership::event_kind kind) const {
    std::size_t count = 0;
    for (const auto& entry : nodes) {
        count += static_cast<std::size_t>(std::count_if(
            entry->events.begin(), entry->events.end(),
            [&](const membership::member_event& event) { return event.kind == kind; }));
    }
    return count;
}

} // namespace cicadahatch::test_support
