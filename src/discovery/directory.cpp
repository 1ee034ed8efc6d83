#include "src/discovery/directory.hpp"

namespace cicadahatch::discovery {

namespace {

using change_kind = directory_change::change_kind;

/// Several times the number of backend servers in the largest deployment.
constexpr std::size_t max_leaving_ids = 4'096;

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

void directory::upsert(const backend& registration, std::vector<directory_change>& changes) {
    backend current = registration;
    current.is_draining =
        registration.is_draining || is_leaving(registration.id, registration.started);
    directory_entry* known = entries_.find(current.id);
    if (known == nullptr) {
        entries_.insert({current.id, current, {}});
        changes.push_back({change_kind::added, current.id});
        return;
    }
    const bool is_same = known->registration == current && known->expires_at == time_point{};
    if (!is_same) {
        changes.push_back({classify_change(*known, current), current.id});
    }
    known->registration = current;
    known->expires_at = {};
}

void directory::remove(const backend_id& id, time_point grace_ends_at, time_point now,
                       std::vector<directory_change>& changes) {
    directory_entry* known = entries_.find(id);
    if (known == nullptr) {
        return;
    }
    if (grace_ends_at <= now) {
        entries_.erase(id);
        changes.push_back({change_kind::gone, id});
        return;
    }
    if (known->expires_at == time_point{}) {
        known->expires_at = grace_ends_at;
        changes.push_back({change_kind::vanished, id});
    }
}

void directory::expire(time_point now, std::vector<directory_change>& changes) {
    std::vector<backend_id> expired;
    for (const directory_entry& entry : entries_.rows()) {
        if (entry.expires_at != time_point{} && entry.expires_at <= now) {
            expired.push_back(entry.id);
        }
    }
    for (const backend_id& id : expired) {
        entries_.erase(id);
        changes.push_back({change_kind::gone, id});
    }
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
