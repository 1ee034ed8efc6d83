#include "src/discovery/directory.hpp"

namespace cicadahatch::discovery {

namespace {

using change_kind = directory_change::change_kind;

/// Several times the number of backend servers in the largest deployment.
constexpr std::size_t max_leaving_ids = 4'096;

/// Longer than a copy of the store is old when the store comes back from it.
constexpr std::chrono::seconds departure_memory{60};

change_kind classify_change(const directory_entry& before, const backend& now) {
    if (before.registration.started != now.started || before.registration.address != now.address) {
        return change_kind::restarted;
    }
    if (now.is_draining && !before.registration.is_draining) {
        return change_kind::draining;
    }
    return change_kind::changed;
}

} // namespace

bool directory::is_leaving(const backend_id& id, incarnation started) const {
    const auto found = leaving_.find(id);
    return found != leaving_.end() && found->second == started;
}

bool directory::mark_leaving(const backend_id& id, incarnation started,
                             std::vector<directory_change>& changes) {
    const auto [recorded, is_new] = leaving_.try_emplace(id, started);
    if (!is_new && recorded->second >= started) {
        return false;
    }
    recorded->second = started;
    if (is_new) {
        leaving_ids_.push_back(id);
    }
    if (leaving_ids_.size() > max_leaving_ids) {
        leaving_.erase(leaving_ids_.front());
        leaving_ids_.pop_front();
    }
    directory_entry* known = entries_.find(id);
    if (known != nullptr && known->registration.started == started &&
        !known->registration.is_draining) {
        known->registration.is_draining = true;
        changes.push_back({change_kind::draining, id});
    }
    return true;
}

bool directory::has_departed(const backend& registration) const {
    const auto found = departed_.find(registration.id);
    return found != departed_.end() && registration.started <= found->second.started;
}

void directory::upsert(const backend& registration, std::vector<directory_change>& changes) {
    departed_.erase(registration.id);
    put(registration, {}, changes);
}

void directory::begin_restore(std::vector<directory_change>& changes) {
    for (const directory_entry& entry : entries_.rows()) {
        if (entry.registration.is_draining && entry.held_until == time_point{}) {
            static_cast<void>(mark_leaving(entry.id, entry.registration.started, changes));
        }
    }
}

void directory::upsert_restored(const backend& registration, time_point usable_at,
                                std::vector<directory_change>& changes) {
    const directory_entry* known = entries_.find(registration.id);
    if (known != nullptr && registration.started < known->registration.started) {
        return;
    }
    const bool is_held = has_departed(registration) && !registration.is_draining;
    put(registration, is_held ? usable_at : time_point{}, changes);
}

void directory::put(const backend& registration, time_point held_until,
                    std::vector<directory_change>& changes) {
    backend current = registration;
    current.is_draining = registration.is_draining || held_until != time_point{} ||
                          is_leaving(registration.id, registration.started);
    directory_entry* known = entries_.find(current.id);
    if (known == nullptr) {
        entries_.insert({current.id, current, {}, held_until});
        changes.push_back({change_kind::added, current.id});
        return;
    }
    const bool is_same = known->registration == current && known->expires_at == time_point{};
    if (!is_same) {
        changes.push_back({classify_change(*known, current), current.id});
    }
    known->registration = current;
    known->expires_at = {};
    known->held_until = held_until;
}

void directory::remove(const backend_id& id, time_point grace_ends_at, time_point now,
                       std::vector<directory_change>& changes) {
    directory_entry* known = entries_.find(id);
    if (known == nullptr) {
        return;
    }
    if (grace_ends_at <= now) {
        erase(id, now, changes);
        return;
    }
    if (known->expires_at == time_point{}) {
        known->expires_at = grace_ends_at;
        changes.push_back({change_kind::vanished, id});
    }
}

void directory::erase(const backend_id& id, time_point now,
                      std::vector<directory_change>& changes) {
    departed_[id] = {entries_.find(id)->registration.started, now};
    entries_.erase(id);
    changes.push_back({change_kind::gone, id});
}

void directory::expire(time_point now, std::vector<directory_change>& changes) {
    std::vector<backend_id> expired;
    std::vector<backend> released;
    for (const directory_entry& entry : entries_.rows()) {
        if (entry.expires_at != time_point{} && entry.expires_at <= now) {
            expired.push_back(entry.id);
        } else if (entry.held_until != time_point{} && entry.held_until <= now) {
            released.push_back(entry.registration);
        }
    }
    for (const backend_id& id : expired) {
        erase(id, now, changes);
    }
    for (backend& usable : released) {
        usable.is_draining = false;
        upsert(usable, changes);
    }
    std::erase_if(departed_,
                  [now](const auto& row) { return now - row.second.at >= departure_memory; });
}

const backend* directory::find(const backend_id& id) const {
    const directory_entry* known = entries_.find(id);
    return known == nullptr ? nullptr : &known->registration;
}

std::vector<const backend*> directory::available_backends(const service_id& service) const {
    std::vector<const backend*> available;
    for (const directory_entry& entry : entries_.rows()) {
        if (entry.registration.service == service && !entry.registration.is_draining) {
            available.push_back(&entry.registration);
        }
    }
    return available;
}

const char* to_string(directory_change::change_kind kind) noexcept {
    switch (kind) {
    case change_kind::added:
        return "added";
    case change_kind::changed:
        return "changed";
    case change_kind::restarted:
        return "restarted";
    case change_kind::draining:
        return "draining";
    case change_kind::vanished:
        return "vanished";
    case change_kind::gone:
        return "gone";
    }
    return "unknown";
}

} // namespace cicadahatch::discovery
