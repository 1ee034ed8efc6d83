#include "src/serving/copied_grants.hpp"

#include "src/cells/wire_conversions.hpp"

#include <algorithm>

namespace cicadahatch::serving {

namespace {

bool is_live(const std::vector<daemon_id>& live, const daemon_id& daemon) {
    return std::find(live.begin(), live.end(), daemon) != live.end();
}

scheduling::grant to_grant(const request_id& name, const rpc::grant_record& record) {
    scheduling::grant copied;
    copied.request = name;
    copied.prefill = record.prefill_backend;
    copied.decode = record.decode_backend;
    return copied;
}

} // namespace

void copied_grants::take(const rpc::copy_grants& copied) {
    auto& grants = grants_[copied.cell];
    if (copied.is_whole) {
        grants.clear();
    }
    for (const request_id& ended : copied.removed) {
        grants.erase(ended);
    }
    for (const rpc::grant_record& record : copied.added) {
        grants.insert_or_assign(cells::attempt_key(record.request, record.attempt),
                                copied_grant{record});
    }
}

void copied_grants::note_death(const daemon_id& dead) {
    for (auto& [cell, grants] : grants_) {
        for (auto& [name, grant] : grants) {
            grant.is_holder_dead = grant.is_holder_dead || grant.record.holder == dead;
        }
    }
}

void copied_grants::note_registered(const cell_id& cell, const daemon_id& holder) {
    const auto found = grants_.find(cell);
    if (found != grants_.end()) {
        std::erase_if(found->second,
                      [&](const auto& entry) { return entry.second.record.holder == holder; });
    }
}

std::vector<scheduling::grant> copied_grants::take_orphans(const cell_id& cell,
                                                           const std::vector<daemon_id>& live) {
    const auto found = grants_.find(cell);
    if (found != grants_.end()) {
        for (auto& [name, grant] : found->second) {
            grant.is_holder_dead = grant.is_holder_dead || !is_live(live, grant.record.holder);
        }
    }
    return take_orphans(cell);
}

std::vector<scheduling::grant> copied_grants::take_orphans(const cell_id& cell) {
    std::vector<scheduling::grant> orphans;
    const auto found = grants_.find(cell);
    if (found == grants_.end()) {
        return orphans;
    }
    for (const auto& [name, grant] : found->second) {
        if (grant.is_holder_dead) {
            orphans.push_back(to_grant(name, grant.record));
        }
    }
    std::erase_if(found->second, [](const auto& entry) { return entry.second.is_holder_dead; });
    return orphans;
}

} // namespace cicadahatch::serving
