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
    std::string value = http::to_string(daemon.place) + separator + daemon.domain.str();
    if (daemon.registry) {
        value += separator + http::to_string(*daemon.registry);
    }
    return value;
}

/// \returns the part of the value in front of the first separator, which is taken from the value
std::string_view take_part(std::string_view& value) {
    const std::size_t mark = std::min(value.find(separator), value.size());
    const std::string_view part = value.substr(0, mark);
    value.remove_prefix(std::min(mark + 1, value.size()));
    return part;
}

std::optional<registered_daemon> read_daemon(const daemon_id& id, std::string_view value) {
    const auto place = http::parse_endpoint(std::string{take_part(value)});
    if (!place) {
        return std::nullopt;
    }
    registered_daemon read{id, *place, domain_id{std::string{take_part(value)}}, {}};
    if (const auto registry = http::parse_endpoint(std::string{take_part(value)})) {
        read.registry = *registry;
    }
    return read;
}

bool has_content(const registry_update& update) {
    return update.configuration || update.is_whole || update.has_daemons ||
           !update.present.empty() || !update.absent.empty() || !update.unreadable.empty();
}

} // namespace

follower::follower(store::key_value_store& kept, entry_reader reader, follow_rules rules,
                   const clock& time, registered_daemon self)
    : kept_(kept), reader_(std::move(reader)), rules_(rules), time_(time), self_(std::move(self)),
      watch_(kept, "") {}

void follower::read_entry(const store::entry& seen, registry_update& update) const {
    if (seen.key == reader_.configuration_key) {
        auto read = reader_.read_configuration(seen);
        if (!read) {
            update.unreadable.push_back(seen.key);
        } else if (!update.configuration || update.configuration->version < read->version) {
            update.configuration = std::move(read);
        }
        return;
    }
    if (!seen.key.starts_with(reader_.backend_prefix)) {
        return;
    }
    std::optional<backend> found = reader_.read_backend(seen);
    if (found) {
        // One update may hold the end of an entry and its return.
        std::erase(update.absent, found->id);
        std::erase_if(update.present, [&](const backend& row) { return row.id == found->id; });
        update.present.push_back(std::move(*found));
        return;
    }
    update.unreadable.push_back(seen.key);
    update.absent.emplace_back(seen.key.substr(reader_.backend_prefix.size()));
}

registry_update follower::read_whole(const std::vector<store::entry>& entries) {
    registry_update update;
    update.is_whole = true;
    daemons_.clear();
    for (const store::entry& seen : entries) {
        read_entry(seen, update);
        if (seen.key.starts_with(reader_.daemon_prefix)) {
            static_cast<void>(note_daemon(seen, false)); // The whole list is handed on.
        }
    }
    update.has_daemons = true;
    return update;
}

registry_update follower::read_changes(const std::vector<store::change>& changes) {
    registry_update update;
    for (const store::change& seen : changes) {
        const std::string& key = seen.changed.key;
        if (key.starts_with(reader_.daemon_prefix)) {
            const bool is_new = note_daemon(seen.changed, seen.is_erased);
            update.has_daemons = update.has_daemons || is_new;
        } else if (!seen.is_erased) {
            read_entry(seen.changed, update);
        } else if (key.starts_with(reader_.backend_prefix)) {
            const backend_id gone{key.substr(reader_.backend_prefix.size())};
            std::erase_if(update.present, [&](const backend& row) { return row.id == gone; });
            update.absent.push_back(gone);
        }
    }
    return update;
}

void follower::note_reached(bool is_reached) {
    if (is_reached && is_away_) {
        settled_at_ = time_.now() + rules_.settle;
    }
    is_away_ = !is_reached;
}

result<registry_update> follower::poll() {
    const bool may_listen = heard_ != nullptr && !watch_.position().empty();
    if (may_listen && heard_->is_reliable()) {
        return listen();
    }
    const bool is_serving = heard_ != nullptr && heard_->is_serving();
    return look(is_serving ? rules_.serving_wait : rules_.longest_wait);
}

result<registry_update> follower::listen() {
    auto heard = heard_->take(rules_.serving_wait);
    if (!heard) {
        return completed({});
    }
    if (heard->after > watch_.position()) {
        return look(std::chrono::milliseconds{0});
    }
    note_reached(true);
    settled_at_ = std::max(settled_at_, time_.now() + heard->settling);
    std::erase_if(heard->changes, [this](const store::change& row) {
        return row.changed.modified <= watch_.position();
    });
    watch_.skip_through(heard->through);
    registry_update update = read_changes(heard->changes);
    update.is_heard = true;
    return completed(std::move(update));
}

result<registry_update> follower::look(std::chrono::milliseconds wait) {
    const revision before = watch_.position();
    auto seen = watch_.poll(wait);
    note_reached(seen.has_value());
    if (!seen) {
        return tl::unexpected(seen.error());
    }
    tell(before, *seen);
    return completed(seen->is_whole ? read_whole(seen->entries) : read_changes(seen->changes));
}

registry_update follower::completed(registry_update update) const {
    if (update.has_daemons) {
        for (const auto& [key, daemon] : daemons_) {
            update.daemons.push_back(daemon);
        }
    }
    update.keep_until = settled_at_;
    return update;
}

void follower::tell(revision before, const store::watch_update& seen) {
    if (!on_look_) {
        return;
    }
    store_look told;
    told.through = watch_.position();
    // Whoever has not seen what a listing skips reads the store itself.
    told.after = seen.is_whole ? told.through : before;
    told.changes = seen.changes;
    const duration left = std::max(duration{0}, settled_at_ - time_.now());
    told.settling = std::chrono::ceil<std::chrono::milliseconds>(left);
    on_look_(std::move(told));
}

bool follower::note_daemon(const store::entry& seen, bool is_erased) {
    const daemon_id id{seen.key.substr(reader_.daemon_prefix.size())};
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
        static_cast<void>(kept_.revoke_lease(lease_));
        lease_ = {};
    }
}

result<void> follower::register_self() {
    auto lease = kept_.grant_lease(rules_.presence_lease);
    if (!lease) {
        return tl::unexpected(lease.error());
    }
    const std::string key = reader_.daemon_prefix + self_.id.str();
    const std::string value = to_value(self_);
    auto outcome = kept_.swap(key, {}, value, *lease);
    if (outcome && !outcome->is_swapped && outcome->current) {
        // An earlier process of this daemon has left its key.
        outcome = kept_.swap(key, outcome->current->modified, value, *lease);
    }
    if (!outcome) {
        return tl::unexpected(outcome.error());
    }
    lease_ = *lease;
    return {};
}

result<void> follower::keep_presence() {
    const time_point now = time_.now();
    if (now < renew_at_) {
        return {};
    }
    renew_at_ = now + rules_.presence_renewal;
    if (lease_.empty()) {
        return register_self();
    }
    const auto left = kept_.keep_alive(lease_);
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
    bool was_reached = false;
    bool is_first = true;
    while (!is_stopping_) {
        auto update = poll();
        if (update.has_value() != was_reached || is_first) {
            on_state({update.has_value(), update ? std::error_code{} : update.error()});
            was_reached = update.has_value();
            is_first = false;
        }
        if (!update) {
            std::this_thread::sleep_for(rules_.retry_pause);
            continue;
        }
        if (has_content(*update)) {
            const bool is_heard = update->is_heard;
            on_update(std::move(*update));
            if (!is_heard) {
                std::this_thread::sleep_for(rules_.pause);
            }
        }
        const auto kept = keep_presence();
        if (!kept) {
            on_state({true, kept.error()});
        }
    }
    withdraw_presence();
}

} // namespace cicadahatch::discovery
