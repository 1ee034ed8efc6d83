#include "src/gateway/registry_subscriber.hpp"

#include "src/gateway/constants.hpp"
#include "src/gateway/registry_messages.hpp"
#include "src/scheduling/cell_home.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::gateway {

namespace {

/// Number of concurrent sources. One covers the loss of the other.
constexpr std::size_t max_sources = 2;

/// \returns the daemons of a domain that publish the registry, in rendezvous order
std::vector<daemon_id> rendezvous_order(const domain_id& domain,
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

registry_subscriber::registry_subscriber(forwarding::asio::io_context& loop, const clock& time,
                                         logging::event_log& log, daemon_id self, domain_id domain,
                                         std::chrono::milliseconds timeout, delta_handler on_delta)
    : loop_(loop), time_(time), log_(log), self_(std::move(self)), domain_(std::move(domain)),
      timeout_(timeout), on_delta_(std::move(on_delta)) {}

void registry_subscriber::set_daemons(const std::vector<discovery::registered_daemon>& daemons) {
    std::vector<source> known = std::exchange(predecessors_, {});
    for (const daemon_id& name : rendezvous_order(domain_, daemons)) {
        if (name == self_) {
            break;
        }
        const auto registered = std::find_if(daemons.begin(), daemons.end(),
                                             [&](const auto& row) { return row.id == name; });
        const auto same = std::find_if(known.begin(), known.end(), [&](const source& row) {
            return row.daemon == *registered;
        });
        if (same == known.end()) {
            source added;
            added.daemon = *registered;
            predecessors_.push_back(std::move(added));
        } else {
            predecessors_.push_back(std::exchange(*same, source{}));
        }
    }
    for (source& removed : known) {
        if (removed.channel) {
            drop(removed, "not registered any more");
        }
    }
}

void registry_subscriber::connect(source& target) {
    const http::endpoint& place = *target.daemon.registry_address;
    forwarding::net_error error;
    const auto address = forwarding::asio::ip::make_address(place.host, error);
    if (error) {
        target.retry_at = time_point::max();
        log_.write(logging::weight::notable, "registry.source.lost",
                   {{"source", target.daemon.id.str()}, {"reason", error.message()}});
        return;
    }
    const auto channel = std::make_shared<peer_channel>(loop_, time_);
    target.channel = channel;
    target.opened_at = time_.now();
    target.last_received_at = {};
    channel->on_messages([this](const daemon_id& from, const std::vector<rpc::message>& received) {
        on_messages(from, received);
    });
    channel->open(self_, target.daemon.id, forwarding::tcp::endpoint{address, place.port}, [] {});
}

void registry_subscriber::drop(source& dropped, const char* reason) {
    log_.write(logging::weight::notable, "registry.source.lost",
               {{"source", dropped.daemon.id.str()}, {"reason", reason}});
    // Closing does not call back: no close handler is set.
    std::exchange(dropped.channel, nullptr)->close();
    dropped.retry_at = time_.now() + unreachable_backoff;
}

void registry_subscriber::drop_if_timed_out(source& row, time_point now) {
    if (!row.channel) {
        return;
    }
    const bool is_connecting = !row.channel->is_open();
    if (is_connecting && now - row.opened_at > home_connect_timeout) {
        drop(row, "not reached");
    } else if (now - std::max(row.opened_at, row.last_received_at) > timeout_) {
        drop(row, "silent");
    }
}

/// Disconnects from sources behind the first two active ones, so that few daemons read the store.
void registry_subscriber::close_surplus() {
    std::size_t active = 0;
    for (source& row : predecessors_) {
        const bool is_active = row.channel && row.last_received_at != time_point{};
        if (active >= max_sources && row.channel) {
            std::exchange(row.channel, nullptr)->close();
        }
        active += is_active ? 1 : 0;
    }
}

void registry_subscriber::tick() {
    const time_point now = time_.now();
    for (source& row : predecessors_) {
        drop_if_timed_out(row, now);
    }
    close_surplus();
    std::size_t sources = 0;
    for (source& row : predecessors_) {
        if (sources >= max_sources) {
            return;
        }
        if (!row.channel && row.retry_at <= now) {
            connect(row);
        }
        sources += row.channel ? 1 : 0;
    }
}

/// \returns until when the publications so far are complete, by the lease clock; empty: not stated
std::optional<time_point>
registry_subscriber::find_completeness(const std::vector<rpc::message>& received) const {
    for (const rpc::message& message : received) {
        const auto* stated = std::get_if<rpc::registry_age>(&message);
        if (stated == nullptr || lease_time_ == nullptr) {
            continue;
        }
        // The poll began at most this long before the publisher had the stamp.
        const time_point stamped{duration{static_cast<std::int64_t>(stated->stamp)}};
        return std::min(stamped, lease_time_->now()) - stated->age;
    }
    return std::nullopt;
}

void registry_subscriber::send_stamp(const source& to) const {
    if (lease_time_ != nullptr && to.channel) {
        const duration reading = lease_time_->now().time_since_epoch();
        to.channel->send({rpc::registry_ping{static_cast<std::uint64_t>(reading.count())}});
    }
}

void registry_subscriber::on_first_message(const source& from, revision seen) {
    log_.write(logging::weight::notable, "registry.source.heard",
               {{"source", from.daemon.id.str()}, {"revision", seen.value()}});
    if (passed_on_) {
        from.channel->send({*passed_on_});
    }
}

void registry_subscriber::pass_on(const store::entry* configuration) {
    passed_on_.reset();
    if (configuration == nullptr) {
        return;
    }
    passed_on_ = to_message(*configuration);
    for (const source& row : predecessors_) {
        if (row.channel) {
            row.channel->send({*passed_on_});
        }
    }
}

void registry_subscriber::on_messages(const daemon_id& from,
                                      const std::vector<rpc::message>& received) {
    const auto row = std::find_if(predecessors_.begin(), predecessors_.end(),
                                  [&](const source& known) { return known.daemon.id == from; });
    if (row == predecessors_.end()) {
        return;
    }
    for (const rpc::message& message : received) {
        if (const auto* passed_on = std::get_if<rpc::configuration_shard>(&message)) {
            on_configuration_(to_entry(*passed_on));
        }
        const auto* published = std::get_if<rpc::registry_look>(&message);
        if (published == nullptr) {
            continue;
        }
        if (row->last_received_at == time_point{}) {
            on_first_message(*row, published->through);
        }
        row->last_received_at = time_.now();
        discovery::store_delta delta = to_delta(*published);
        delta.complete_as_of = find_completeness(received);
        on_delta_(std::move(delta));
    }
    send_stamp(*row);
}

std::vector<daemon_id> registry_subscriber::sources() const {
    std::vector<daemon_id> names;
    for (const source& row : predecessors_) {
        if (row.channel) {
            names.push_back(row.daemon.id);
        }
    }
    return names;
}

} // namespace cicadahatch::gateway
