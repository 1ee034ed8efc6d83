#include "src/discovery/directory.hpp"

namespace cicadahatch::discovery {

namespace {

using change_kind = directory_change::change_kind;

/// Marks kept: several times the backend servers of the largest deployment.
constexpr std::size_t max_leaving = 4'096;

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
    const auto [marked, is_new] = leaving_.try_emplace(id, started);
    if (!is_new && marked->second >= started) {
        return false;
    }
    marked->second = started;
    if (is_new) {
        leaving_ids_.push_back(id);
    }
    if (leaving_ids_.size() > max_leaving) {
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

void directory::upsert(const backend& listed, std::vector<directory_change>& changes) {
    backend registered = listed;
    registered.is_draining = listed.is_draining || is_leaving(listed.id, listed.started);
    directory_entry* known = entries_.find(registered.id);
    if (known == nullptr) {
        entries_.insert({registered.id, registered, {}});
        changes.push_back({change_kind::added, registered.id});
        return;
    }
    const bool is_same = known->registration == registered && known->expires_at == time_point{};
    if (!is_same) {
        changes.push_back({classify_change(*known, registered), registered.id});
    }
    known->registration = registered;
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
    std::vector<backend_id> gone;
    for (const directory_entry& row : entries_.rows()) {
        if (row.expires_at != time_point{} && row.expires_at <= now) {
            gone.push_back(row.id);
        }
    }
    for (const backend_id& id : gone) {
        entries_.erase(id);
        changes.push_back({change_kind::gone, id});
    }
}

const backend* directory::find(const backend_id& id) const {
    const directory_entry* known = entries_.find(id);
    return known == nullptr ? nullptr : &known->registration;
}

std::vector<const backend*> directory::available_backends(const service_id& service) const {
    std::vector<const backend*> open;
    for (const directory_entry& row : entries_.rows()) {
        if (row.registration.service == service && !row.registration.is_draining) {
            open.push_back(&row.registration);
        }
    }
    return open;
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
