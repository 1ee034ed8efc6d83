#include "src/gateway/home_connections.hpp"

#include "src/gateway/constants.hpp"
#include "src/scheduling/cell_home.hpp"

#include <algorithm>
#include <utility>

namespace cicadahatch::gateway {

namespace asio = forwarding::asio;
using forwarding::net_error;
using logging::weight;

home_connections::home_connections(forwarding::gateway_state& state, daemon_id self)
    : state_(state), self_(std::move(self)) {}

std::vector<daemon_id> home_connections::homes_of(const cell_id& cell) const {
    const auto known = homes_by_cell_.find(cell);
    if (known != homes_by_cell_.end()) {
        return known->second;
    }
    std::vector<scheduling::home_candidate> daemons;
    daemons.reserve(candidates_.size());
    for (const auto& [id, row] : candidates_) {
        daemons.push_back({id, row.daemon.domain});
    }
    return homes_by_cell_[cell] = scheduling::spread_homes(cell, daemons, homes_per_cell);
}

daemon_id home_connections::connected_home(const cell_id& cell) const {
    for (const daemon_id& daemon : homes_of(cell)) {
        const candidate& row = candidates_.at(daemon);
        const bool is_usable = row.avoid_until <= state_.time.now();
        if (is_usable && row.channel && row.channel->is_open()) {
            return daemon;
        }
    }
    return {};
}

bool home_connections::is_connecting(const cell_id& cell) const {
    const auto order = homes_of(cell);
    return std::any_of(order.begin(), order.end(), [this](const daemon_id& daemon) {
        const candidate& row = candidates_.at(daemon);
        return row.channel && !row.channel->is_open();
    });
}

void home_connections::send(const daemon_id& home, std::vector<rpc::message> messages) {
    const auto found = candidates_.find(home);
    if (found != candidates_.end() && found->second.channel && found->second.channel->is_open()) {
        found->second.channel->send(std::move(messages));
    }
}

void home_connections::send_to_all(const cell_id& cell, const rpc::message& message) {
    for (const daemon_id& daemon : homes_of(cell)) {
        const candidate& row = candidates_.at(daemon);
        if (row.channel && row.channel->is_open()) {
            row.channel->send({message});
        }
    }
}

void home_connections::avoid(const daemon_id& home, time_point until) {
    const auto found = candidates_.find(home);
    if (found != candidates_.end()) {
        found->second.avoid_until = until;
    }
}

void home_connections::connect(candidate& target) {
    const daemon_id id = target.daemon.id;
    net_error error;
    const auto address = asio::ip::make_address(target.daemon.address.host, error);
    if (error) {
        return;
    }
    target.opened_at = state_.time.now();
    target.channel = std::make_shared<peer_channel>(state_.loop, state_.time);
    target.channel->on_messages(
        [this](const daemon_id& home, const std::vector<rpc::message>& received) {
            for (home_user* user : users_) {
                user->on_home_messages(home, received);
            }
        });
    target.channel->on_close([this](const daemon_id& home) { on_close(home); });
    target.channel->open(self_, id, {address, target.daemon.address.port},
                         [this, id] { on_open(id); });
}

void home_connections::on_open(const daemon_id& home) {
    state_.log.write(weight::notable, "home.reached", {{"home", home.str()}});
    candidates_.at(home).is_established = true;
    for (home_user* user : users_) {
        user->on_home_open(home);
    }
}

void home_connections::on_close(const daemon_id& home) {
    state_.log.write(weight::notable, "home.lost", {{"home", home.str()}});
    // A home that is not registered any more has no row, but requests may wait for its answer.
    const auto found = candidates_.find(home);
    if (found != candidates_.end()) {
        candidate& row = found->second;
        const time_point now = state_.time.now();
        // A connection that was stable is reopened at once: it may have been reset.
        const bool was_stable = row.is_established && now - row.opened_at > unreachable_backoff;
        row.channel.reset();
        row.is_established = false;
        row.avoid_until = was_stable ? now : now + unreachable_backoff;
    }
    connect_to_homes();
    for (home_user* user : users_) {
        user->on_home_close(home);
    }
}

std::set<cell_id> home_connections::cells() const {
    std::set<cell_id> used;
    for (const home_user* user : users_) {
        used.merge(user->cells());
    }
    return used;
}

std::optional<time_point> home_connections::oldest_unanswered(const daemon_id& home) const {
    std::optional<time_point> oldest;
    for (const home_user* user : users_) {
        const auto sent_at = user->oldest_unanswered(home);
        if (sent_at && (!oldest || *sent_at < *oldest)) {
            oldest = sent_at;
        }
    }
    return oldest;
}

void home_connections::close_if_timed_out(candidate& row, time_point now) {
    if (!row.channel) {
        return;
    }
    const auto channel = row.channel;
    if (!channel->is_open()) {
        if (now - row.opened_at > home_connect_timeout) {
            channel->close();
        }
        return;
    }
    const auto entry = oldest_unanswered(row.daemon.id);
    const bool is_idle_timed_out = now - channel->last_received_at() > idle_heartbeat_timeout;
    const bool is_busy_timed_out =
        entry && now - std::max(*entry, channel->last_received_at()) > busy_heartbeat_timeout;
    if (is_idle_timed_out || is_busy_timed_out) {
        channel->close();
    }
}

void home_connections::tick() {
    const time_point now = state_.time.now();
    std::vector<daemon_id> ids;
    for (const auto& [id, row] : candidates_) {
        ids.push_back(id);
    }
    for (const daemon_id& id : ids) {
        close_if_timed_out(candidates_.at(id), now);
    }
    connect_to_homes();
}

void home_connections::connect_to_homes() {
    const time_point now = state_.time.now();
    for (const cell_id& cell : cells()) {
        for (const daemon_id& daemon : homes_of(cell)) {
            candidate& row = candidates_.at(daemon);
            if (row.avoid_until > now) {
                continue;
            }
            if (!row.channel) {
                connect(row);
            }
            break;
        }
    }
}

void home_connections::set_daemons(std::vector<discovery::registered_daemon> daemons) {
    std::map<daemon_id, candidate> updated;
    for (discovery::registered_daemon& daemon : daemons) {
        const auto known = candidates_.find(daemon.id);
        const bool is_same = known != candidates_.end() && known->second.daemon == daemon;
        const daemon_id id = daemon.id;
        if (is_same) {
            updated[id] = known->second;
        } else {
            updated[id].daemon = std::move(daemon);
        }
    }
    std::vector<std::shared_ptr<peer_channel>> dropped;
    for (auto& [id, row] : candidates_) {
        const auto retained = updated.find(id);
        if (row.channel && (retained == updated.end() || retained->second.channel != row.channel)) {
            dropped.push_back(row.channel);
        }
    }
    candidates_ = std::move(updated);
    homes_by_cell_.clear();
    for (const auto& channel : dropped) {
        channel->close();
    }
    tick();
}

} // namespace cicadahatch::gateway
