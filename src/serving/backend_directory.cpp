#include "src/serving/backend_directory.hpp"

#include <algorithm>
#include <set>

namespace cicadahatch::serving {

namespace {

std::optional<backend_row> to_row(const settings::service& owner,
                                  const settings::backend_server& described) {
    const auto place = http::parse_endpoint(described.address);
    if (!place) {
        return std::nullopt;
    }
    backend_row row;
    row.id = described.id;
    row.place = *place;
    row.role = described.role;
    row.domain = described.domain;
    row.service = owner.name;
    row.model = owner.model;
    return row;
}

/// Puts a described server into the table, keeping what is known of one at the same address.
void merge_row(table<backend_id, backend_row>& rows, backend_row described) {
    backend_row* known = rows.find(described.id);
    if (known == nullptr) {
        rows.insert(std::move(described));
        return;
    }
    if (known->place != described.place) {
        *known = std::move(described);
        return;
    }
    known->role = described.role;
    known->domain = described.domain;
    known->service = described.service;
    known->model = described.model;
}

void rebuild(table<backend_id, backend_row>& rows, const service_map& services) {
    std::set<backend_id> described;
    for (const auto& [name, owner] : services) {
        for (const settings::backend_server& server : owner.backends) {
            if (auto row = to_row(owner, server)) {
                described.insert(server.id);
                merge_row(rows, std::move(*row));
            }
        }
    }
    rows.erase_if([&](const backend_row& row) { return described.count(row.id) == 0; });
}

bool is_better(const backend_row& candidate, const backend_row* best, const domain_id& preferred) {
    if (best == nullptr) {
        return true;
    }
    const bool is_near = candidate.domain == preferred;
    const bool best_is_near = best->domain == preferred;
    if (is_near != best_is_near) {
        return is_near;
    }
    return candidate.in_flight < best->in_flight;
}

} // namespace

bool has_left(const backend_row& server) {
    return !server.left.empty() && server.started <= server.left;
}

backend_role present_role(const backend_row& server) {
    if (server.role != backend_role::plain && server.load.role == "prefill") {
        return backend_role::prefill;
    }
    if (server.role != backend_role::plain && server.load.role == "decode") {
        return backend_role::decode;
    }
    return server.role;
}

bool takes_work(const backend_row& server) {
    return !has_left(server) && !server.is_drained && server.is_reachable;
}

revision backend_directory::configured() const {
    const std::lock_guard lock{mutex_};
    return configured_;
}

std::shared_ptr<const service_map> backend_directory::services() const {
    const std::lock_guard lock{mutex_};
    return services_;
}

std::optional<settings::service> backend_directory::service(const service_id& name) const {
    const auto all = services();
    if (!all) {
        return std::nullopt;
    }
    const auto found = all->find(name);
    if (found == all->end()) {
        return std::nullopt;
    }
    return found->second;
}

std::optional<backend_row> backend_directory::backend(const backend_id& id) const {
    const std::lock_guard lock{mutex_};
    const backend_row* row = backends_.find(id);
    return row == nullptr ? std::nullopt : std::optional{*row};
}

std::vector<backend_row> backend_directory::backends() const {
    const std::lock_guard lock{mutex_};
    return backends_.rows();
}

std::vector<backend_row>
backend_directory::select(const std::function<bool(const backend_row&)>& is_wanted) const {
    const std::lock_guard lock{mutex_};
    std::vector<backend_row> selected;
    for (const backend_row& row : backends_.rows()) {
        if (is_wanted(row)) {
            selected.push_back(row);
        }
    }
    return selected;
}

void backend_directory::apply(revision accepted, std::shared_ptr<const service_map> services) {
    const std::lock_guard lock{mutex_};
    if (accepted <= configured_) {
        return;
    }
    configured_ = accepted;
    services_ = std::move(services);
    rebuild(backends_, *services_);
    ++version_;
}

void backend_directory::note_load(const backend_id& id, const engines::load_report& load,
                                  time_point now,
                                  std::shared_ptr<const engines::cached_prefix_set> cache) {
    const std::lock_guard lock{mutex_};
    backend_row* row = backends_.find(id);
    if (row == nullptr || load.started < row->started) {
        return;
    }
    const bool took_work = takes_work(*row);
    // The first report tells which incarnation was drained; only a later one is another server.
    const bool is_restarted = !row->started.empty() && load.started != row->started;
    if (is_restarted) {
        row->is_drained = false;
    }
    const bool is_new = load.started != row->started;
    row->started = load.started;
    row->load = load;
    if (is_new || cache != nullptr) {
        row->cache = std::move(cache);
    }
    row->reported = now;
    row->is_reachable = true;
    if (load.is_leaving) {
        row->left = load.started;
    }
    if (is_new || takes_work(*row) != took_work) {
        ++version_;
    }
}

void backend_directory::note_reachable(const backend_id& id) {
    const std::lock_guard lock{mutex_};
    if (backend_row* row = backends_.find(id)) {
        version_ += row->is_reachable ? 0 : 1;
        row->is_reachable = true;
    }
}

void backend_directory::note_unreachable(const backend_id& id) {
    const std::lock_guard lock{mutex_};
    if (backend_row* row = backends_.find(id)) {
        version_ += row->is_reachable ? 1 : 0;
        row->is_reachable = false;
    }
}

bool backend_directory::note_leaving(const backend_id& id, incarnation leaving) {
    const std::lock_guard lock{mutex_};
    backend_row* row = backends_.find(id);
    if (row == nullptr) {
        return false;
    }
    const incarnation left = leaving.empty() ? row->started : leaving;
    if (left <= row->left) {
        return false;
    }
    row->left = left;
    ++version_;
    return true;
}

bool backend_directory::drain(const backend_id& id, bool is_drained) {
    const std::lock_guard lock{mutex_};
    backend_row* row = backends_.find(id);
    if (row == nullptr) {
        return false;
    }
    version_ += row->is_drained == is_drained ? 0 : 1;
    row->is_drained = is_drained;
    return true;
}

std::optional<backend_row> backend_directory::begin_plain(const service_id& service,
                                                          const std::vector<backend_id>& excluded,
                                                          const domain_id& preferred) {
    const std::lock_guard lock{mutex_};
    backend_row* best = nullptr;
    for (backend_row& row : backends_.rows()) {
        const bool is_tried = std::find(excluded.begin(), excluded.end(), row.id) != excluded.end();
        if (row.service != service || is_tried || !takes_work(row)) {
            continue;
        }
        if (is_better(row, best, preferred)) {
            best = &row;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    ++best->in_flight;
    return *best;
}

void backend_directory::end_plain(const backend_id& id) {
    const std::lock_guard lock{mutex_};
    backend_row* row = backends_.find(id);
    if (row != nullptr && row->in_flight > 0) {
        --row->in_flight;
    }
}

} // namespace cicadahatch::serving
