#include "src/serving/copied_grants.hpp"

#include "src/serving/internal/wire_names.hpp"

#include <algorithm>

namespace cicadahatch::serving {

namespace {

bool is_live(const std::vector<daemon_id>& live, const daemon_id& daemon) {
    return std::find(live.begin(), live.end(), daemon) != live.end();
}

} // namespace

void copied_grants::take(const rpc::copy_grants& copied) {
    auto& records = records_[copied.cell];
    if (copied.is_whole) {
        records.clear();
    }
    for (const request_id& ended : copied.removed) {
        records.erase(ended);
    }
    for (const rpc::grant_record& record : copied.added) {
        records.insert_or_assign(internal::cell_name(record.request, record.attempt), record);
    }
}

std::vector<scheduling::grant> copied_grants::take_orphans(const cell_id& cell,
                                                           const std::vector<daemon_id>& live) {
    std::vector<scheduling::grant> orphans;
    const auto node = records_.extract(cell);
    if (node.empty()) {
        return orphans;
    }
    for (const auto& [name, record] : node.mapped()) {
        if (is_live(live, record.holder)) {
            continue;
        }
        scheduling::grant orphan;
        orphan.request = name;
        orphan.prefill = record.prefill_backend;
        orphan.decode = record.decode_backend;
        orphans.push_back(orphan);
    }
    return orphans;
}

} // namespace cicadahatch::serving
