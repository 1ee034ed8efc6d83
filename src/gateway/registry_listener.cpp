#include "src/gateway/registry_listener.hpp"

#include "src/gateway/constants.hpp"
#include "src/gateway/registry_messages.hpp"
#include "src/scheduling/cell_home.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::gateway {

namespace {

/// Daemons heard at once: the loss of one is bridged by the other.
constexpr std::size_t wanted_sources = 2;

/// The names of a domain's daemons that have a registry, in the order that all of them agree on.
std::vector<daemon_id> order_of(const domain_id& domain,
                                const std::vector<discovery::registered_daemon>& daemons) {
    std::vector<daemon_id> names;
    for (const discovery::registered_daemon& row : daemons) {
        if (row.domain == domain && row.registry_address) {
            names.push_back(row.id);
        }
    }
    return scheduling::cell_homes(cell_id{domain.str()}, names, names.size());
}

} // namespace

registry_listener::registry_listener(forwarding::asio::io_context& loop, const clock& time,
                                     logging::event_log& log, daemon_id self, domain_id domain,
                                     std::chrono::milliseconds silence, look_handler heard)
    : loop_(loop), time_(time), log_(log), self_(std::move(self)), domain_(std::move(domain)),
      silence_(silence), heard_(std::move(heard)) {}

void registry_listener::set_daemons(const std::vector<discovery::registered_daemon>& daemons) {
    std::vector<source> known = std::exchange(before_, {});
    for (const daemon_id& name : order_of(domain_, daemons)) {
        if (name == self_) {
            break;
        }
        const auto listed = std::find_if(daemons.begin(), daemons.end(),
                                         [&](const auto& row) { return row.id == name; });
        const auto same = std::find_if(known.begin(), known.end(),
                                       [&](const source& row) { return row.daemon == *listed; });
        if (same == known.end()) {
            source added;
            added.daemon = *listed;
            before_.push_back(std::move(added));
        } else {
            before_.push_back(std::exchange(*same, source{}));
        }
    }
    for (source& left : known) {
        if (left.channel) {
            drop(left, "not registered any more");
        }
    }
}

void registry_listener::connect(source& to) {
    const http::endpoint& place = *to.daemon.registry_address;
    forwarding::net_error error;
    const auto address = forwarding::asio::ip::make_address(place.host, error);
    if (error) {
        to.avoid_until = time_point::max();
        log_.write(logging::weight::notable, "registry.source.lost",
                   {{"source", to.daemon.id.str()}, {"reason", error.message()}});
        return;
    }
    const auto channel = std::make_shared<peer_channel>(loop_, time_);
    to.channel = channel;
    to.opened_at = time_.now();
    to.heard_at = {};
    channel->on_messages([this](const daemon_id& from, const std::vector<rpc::message>& received) {
        on_messages(from, received);
    });
    channel->open(self_, to.daemon.id, forwarding::tcp::endpoint{address, place.port}, [] {});
}

void registry_listener::drop(source& from, const char* reason) {
    log_.write(logging::weight::notable, "registry.source.lost",
               {{"source", from.daemon.id.str()}, {"reason", reason}});
    // Closing calls no handler of this object: only messages are handled.
    std::exchange(from.channel, nullptr)->close();
    from.avoid_until = time_.now() + unreachable_pause;
}

void registry_listener::give_up_if_silent(source& row, time_point now) {
    if (!row.channel) {
        return;
    }
    const bool is_connecting = !row.channel->is_open();
    if (is_connecting && now - row.opened_at > home_connect_timeout) {
        drop(row, "not reached");
    } else if (now - std::max(row.opened_at, row.heard_at) > silence_) {
        drop(row, "silent");
    }
}

/// Once two daemons are heard, those behind them are left alone, so that few read the store.
void registry_listener::keep_first() {
    std::size_t heard = 0;
    for (source& row : before_) {
        const bool is_heard = row.channel && row.heard_at != time_point{};
        if (heard >= wanted_sources && row.channel) {
            std::exchange(row.channel, nullptr)->close();
        }
        heard += is_heard ? 1 : 0;
    }
}

void registry_listener::tend() {
    const time_point now = time_.now();
    for (source& row : before_) {
        give_up_if_silent(row, now);
    }
    keep_first();
    std::size_t sources = 0;
    for (source& row : before_) {
        if (sources >= wanted_sources) {
            return;
        }
        if (!row.channel && row.avoid_until <= now) {
            connect(row);
        }
        sources += row.channel ? 1 : 0;
    }
}

void registry_listener::on_messages(const daemon_id& from,
                                    const std::vector<rpc::message>& received) {
    const auto row = std::find_if(before_.begin(), before_.end(),
                                  [&](const source& known) { return known.daemon.id == from; });
    if (row == before_.end()) {
        return;
    }
    for (const rpc::message& message : received) {
        const auto* look = std::get_if<rpc::registry_look>(&message);
        if (look == nullptr) {
            continue;
        }
        if (row->heard_at == time_point{}) {
            log_.write(logging::weight::notable, "registry.source.heard",
                       {{"source", from.str()}, {"revision", look->through.value()}});
        }
        row->heard_at = time_.now();
        heard_(to_look(*look));
    }
}

std::vector<daemon_id> registry_listener::sources() const {
    std::vector<daemon_id> names;
    for (const source& row : before_) {
        if (row.channel) {
            names.push_back(row.daemon.id);
        }
    }
    return names;
}

} // namespace cicadahatch::gateway
