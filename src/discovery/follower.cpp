#include "src/discovery/follower.hpp"

#include "src/store/error.hpp"

#include <algorithm>
#include <string_view>
#include <thread>

namespace cicadahatch::discovery {

namespace {

/// Between place, failure domain and place of the registry in a daemon's entry.
constexpr char separator = ' ';

std::string to_value(const registered_daemon& daemon) {
    std::string value = http::to_string(daemon.address) + separator + daemon.domain.str();
    if (daemon.registry_address) {
        value += separator + http::to_string(*daemon.registry_address);
    }
    return value;
}

/// \returns the part of the value in front of the first separator, which is taken from the value
std::string_view consume_field(std::string_view& value) {
    const std::size_t mark = std::min(value.find(separator), value.size());
    const std::string_view part = value.substr(0, mark);
    value.remove_prefix(std::min(mark + 1, value.size()));
    return part;
}

std::optional<registered_daemon> read_daemon(const daemon_id& id, std::string_view value) {
    const auto place = http::parse_endpoint(std::string{consume_field(value)});
    if (!place) {
        return std::nullopt;
    }
    registered_daemon read{id, *place, domain_id{std::string{consume_field(value)}}, {}};
    if (const auto registry = http::parse_endpoint(std::string{consume_field(value)})) {
        read.registry_address = *registry;
    }
    return read;
}

bool has_changes(const registry_update& update) {
    return update.configuration || update.is_snapshot || update.has_daemon_list ||
           !update.present.empty() || !update.absent.empty() || !update.unreadable.empty();
}

} // namespace

follower::follower(store::key_value_store& kept, registry_schema reader, follower_options options,
                   const clock& time, registered_daemon self)
    : store_(kept), schema_(std::move(reader)), options_(options), time_(time),
      self_(std::move(self)), watch_(kept, "") {}

void follower::read_entry(const store::entry& seen, registry_update& update) const {
    if (seen.key == schema_.configuration_key) {
        auto read = schema_.read_configuration(seen);
        if (!read) {
            update.unreadable.push_back(seen.key);
        } else if (!update.configuration || update.configuration->version < read->version) {
            update.configuration = std::move(read);
        }
        return;
    }
    if (!seen.key.starts_with(schema_.backend_prefix)) {
        return;
    }
    std::optional<backend> found = schema_.read_backend(seen);
    if (found) {
        // One update may hold the end of an entry and its return.
        std::erase(update.absent, found->id);
        std::erase_if(update.present, [&](const backend& row) { return row.id == found->id; });
        update.present.push_back(std::move(*found));
        return;
    }
    update.unreadable.push_back(seen.key);
    update.absent.emplace_back(seen.key.substr(schema_.backend_prefix.size()));
}

registry_update follower::read_snapshot(const std::vector<store::entry>& entries) {
    registry_update update;
    update.is_snapshot = true;
    daemons_.clear();
    for (const store::entry& seen : entries) {
        read_entry(seen, update);
        if (seen.key.starts_with(schema_.daemon_prefix)) {
            static_cast<void>(update_daemon(seen, false)); // The whole list is handed on.
        }
    }
    update.has_daemon_list = true;
    return update;
}

registry_update follower::read_changes(const std::vector<store::change>& changes) {
    registry_update update;
    for (const store::change& seen : changes) {
        const std::string& key = seen.changed.key;
        if (key.starts_with(schema_.daemon_prefix)) {
            const bool is_new = update_daemon(seen.changed, seen.is_erased);
            update.has_daemon_list = update.has_daemon_list || is_new;
        } else if (!seen.is_erased) {
            read_entry(seen.changed, update);
        } else if (key.starts_with(schema_.backend_prefix)) {
            const backend_id gone{key.substr(schema_.backend_prefix.size())};
            std::erase_if(update.present, [&](const backend& row) { return row.id == gone; });
            update.absent.push_back(gone);
        }
    }
    return update;
}

void follower::set_reachable(bool is_reachable) {
    if (is_reachable && is_unreachable_) {
        grace_ends_at_ = time_.now() + options_.grace_period;
    }
    is_unreachable_ = !is_reachable;
}

result<registry_update> follower::poll() {
    const bool may_listen = feed_ != nullptr && !watch_.position().empty();
    if (may_listen && feed_->is_live()) {
        return listen();
    }
    const bool is_relaying = feed_ != nullptr && feed_->is_relaying();
    return look(is_relaying ? options_.relaying_watch_timeout : options_.watch_timeout);
}

result<registry_update> follower::listen() {
    auto heard = feed_->take(options_.relaying_watch_timeout);
    if (!heard) {
        return completed({});
    }
    if (heard->after > watch_.position()) {
        return look(std::chrono::milliseconds{0});
    }
    set_reachable(true);
    grace_ends_at_ = std::max(grace_ends_at_, time_.now() + heard->grace_period);
    std::erase_if(heard->changes, [this](const store::change& row) {
        return row.changed.modified <= watch_.position();
    });
    watch_.skip_through(heard->through);
    registry_update update = read_changes(heard->changes);
    update.is_relayed = true;
    return completed(std::move(update));
}

result<registry_update> follower::look(std::chrono::milliseconds wait) {
    const revision before = watch_.position();
    auto seen = watch_.poll(wait);
    set_reachable(seen.has_value());
    if (!seen) {
        return tl::unexpected(seen.error());
    }
    tell(before, *seen);
    return completed(seen->is_whole ? read_snapshot(seen->entries) : read_changes(seen->changes));
}

registry_update follower::completed(registry_update update) const {
    if (update.has_daemon_list) {
        for (const auto& [key, daemon] : daemons_) {
            update.daemons.push_back(daemon);
        }
    }
    update.grace_ends_at = grace_ends_at_;
    return update;
}

void follower::tell(revision before, const store::watch_update& seen) {
    if (!on_delta_) {
        return;
    }
    store_delta told;
    told.through = watch_.position();
    // Whoever has not seen what a listing skips reads the store itself.
    told.after = seen.is_whole ? told.through : before;
    told.changes = seen.changes;
    const duration left = std::max(duration{0}, grace_ends_at_ - time_.now());
    told.grace_period = std::chrono::ceil<std::chrono::milliseconds>(left);
    on_delta_(std::move(told));
}

bool follower::update_daemon(const store::entry& seen, bool is_erased) {
    const daemon_id id{seen.key.substr(schema_.daemon_prefix.size())};
    const auto found = is_erased ? std::nullopt : read_daemon(id, seen.value);
    if (!found) {
        return daemons_.erase(seen.key) > 0;
    }
    const auto known = daemons_.find(seen.key);
    if (known != daemons_.end() && known->second == *found) {
        return false;
    }
    daemons_[seen.key] = *found;
    return true;
}

void follower::withdraw_presence() {
    if (!lease_.empty()) {
        // Without this the key lapses with its lease.
        static_cast<void>(store_.revoke_lease(lease_));
        lease_ = {};
    }
}

result<void> follower::register_self() {
    auto lease = store_.grant_lease(options_.presence_ttl);
    if (!lease) {
        return tl::unexpected(lease.error());
    }
    const std::string key = schema_.daemon_prefix + self_.id.str();
    const std::string value = to_value(self_);
    auto outcome = store_.swap(key, {}, value, *lease);
    if (outcome && !outcome->is_swapped && outcome->current) {
        // An earlier process of this daemon has left its key.
        outcome = store_.swap(key, outcome->current->modified, value, *lease);
    }
    if (!outcome) {
        return tl::unexpected(outcome.error());
    }
    lease_ = *lease;
    return {};
}

result<void> follower::maintain_presence() {
    const time_point now = time_.now();
    if (now < renew_at_) {
        return {};
    }
    renew_at_ = now + options_.presence_renewal_interval;
    if (lease_.empty()) {
        return register_self();
    }
    const auto left = store_.keep_alive(lease_);
    if (left) {
        return {};
    }
    if (left.error() == store::errc::lease_expired) {
        lease_ = {};
        return register_self();
    }
    return tl::unexpected(left.error());
}

void follower::run(const update_handler& on_update, const state_handler& on_state) {
    bool was_reachable = false;
    bool is_first = true;
    while (!is_stopping_) {
        auto update = poll();
        if (update.has_value() != was_reachable || is_first) {
            on_state({update.has_value(), update ? std::error_code{} : update.error()});
            was_reachable = update.has_value();
            is_first = false;
        }
        if (!update) {
            std::this_thread::sleep_for(options_.retry_delay);
            continue;
        }
        if (has_changes(*update)) {
            const bool is_relayed = update->is_relayed;
            on_update(std::move(*update));
            if (!is_relayed) {
                std::this_thread::sleep_for(options_.update_delay);
            }
        }
        const auto kept = maintain_presence();
        if (!kept) {
            on_state({true, kept.error()});
        }
    }
    withdraw_presence();
}

} // namespace cicadahatch::discovery
