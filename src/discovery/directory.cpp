#include "src/discovery/directory.hpp"

namespace cicadahatch::discovery {

namespace {

using what = directory_change::what;

/// Marks kept: several times the backend servers of the largest deployment.
constexpr std::size_t max_leaving = 4'096;

what difference(const listed_backend& before, const backend& now) {
    if (before.registered.started != now.started || before.registered.place != now.place) {
        return what::restarted;
    }
    if (now.is_draining && !before.registered.is_draining) {
        return what::draining;
    }
    return what::changed;
}

} // namespace

bool directory::has_said_leaving(const backend_id& id, incarnation started) const {
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
        leaving_order_.push_back(id);
    }
    if (leaving_order_.size() > max_leaving) {
        leaving_.erase(leaving_order_.front());
        leaving_order_.pop_front();
    }
    listed_backend* known = rows_.find(id);
    if (known != nullptr && known->registered.started == started &&
        !known->registered.is_draining) {
        known->registered.is_draining = true;
        changes.push_back({what::draining, id});
    }
    return true;
}

void directory::upsert(const backend& listed, std::vector<directory_change>& changes) {
    backend registered = listed;
    registered.is_draining = listed.is_draining || has_said_leaving(listed.id, listed.started);
    listed_backend* known = rows_.find(registered.id);
    if (known == nullptr) {
        rows_.insert({registered.id, registered, {}});
        changes.push_back({what::added, registered.id});
        return;
    }
    const bool is_same = known->registered == registered && known->gone_at == time_point{};
    if (!is_same) {
        changes.push_back({difference(*known, registered), registered.id});
    }
    known->registered = registered;
    known->gone_at = {};
}

void directory::remove(const backend_id& id, time_point keep_until, time_point now,
                       std::vector<directory_change>& changes) {
    listed_backend* known = rows_.find(id);
    if (known == nullptr) {
        return;
    }
    if (keep_until <= now) {
        rows_.erase(id);
        changes.push_back({what::gone, id});
        return;
    }
    if (known->gone_at == time_point{}) {
        known->gone_at = keep_until;
        changes.push_back({what::vanished, id});
    }
}

void directory::expire(time_point now, std::vector<directory_change>& changes) {
    std::vector<backend_id> gone;
    for (const listed_backend& row : rows_.rows()) {
        if (row.gone_at != time_point{} && row.gone_at <= now) {
            gone.push_back(row.id);
        }
    }
    for (const backend_id& id : gone) {
        rows_.erase(id);
        changes.push_back({what::gone, id});
    }
}

const backend* directory::find(const backend_id& id) const {
    const listed_backend* known = rows_.find(id);
    return known == nullptr ? nullptr : &known->registered;
}

std::vector<const backend*> directory::open_backends(const service_id& service) const {
    std::vector<const backend*> open;
    for (const listed_backend& row : rows_.rows()) {
        if (row.registered.service == service && !row.registered.is_draining) {
            open.push_back(&row.registered);
        }
    }
    return open;
}

const char* to_string(directory_change::what happened) noexcept {
    switch (happened) {
    case what::added:
        return "added";
    case what::changed:
        return "changed";
    case what::restarted:
        return "restarted";
    case what::draining:
        return "draining";
    case what::vanished:
        return "vanished";
    case what::gone:
        return "gone";
    }
    return "unknown";
}

} // namespace cicadahatch::discovery
