#include "src/serving/grant_copy.hpp"

#include "src/cells/cell_messages.hpp"

namespace cicadahatch::serving {

namespace {

/// Time between two whole copies of a cell's grants, between which only changes are sent.
constexpr std::chrono::seconds whole_copy_period{10};

} // namespace

std::optional<rpc::copy_grants> next_copy(copy_progress& told, const scheduling::cell_state& cell,
                                          const daemon_id& successor, time_point now) {
    const bool is_whole = told.is_whole_due || successor != told.successor ||
                          now - told.whole_copy_at > whole_copy_period;
    std::set<request_id> present;
    rpc::copy_grants copied;
    for (const scheduling::live_grant& held : cell.grants.rows()) {
        present.insert(held.id);
        if (is_whole || told.copied.count(held.id) == 0) {
            copied.added.push_back(cells::to_record(held, now));
        }
    }
    for (const request_id& former : told.copied) {
        if (!is_whole && present.count(former) == 0) {
            copied.removed.push_back(former);
        }
    }
    told.copied = std::move(present);
    told.successor = successor;
    told.is_whole_due = false;
    if (!is_whole && copied.added.empty() && copied.removed.empty()) {
        return std::nullopt;
    }
    told.whole_copy_at = is_whole ? now : told.whole_copy_at;
    copied.cell = cell.id;
    copied.sequence = ++told.sequence;
    copied.is_whole = is_whole;
    return copied;
}

} // namespace cicadahatch::serving
