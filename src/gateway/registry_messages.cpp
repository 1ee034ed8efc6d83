#include "src/gateway/registry_messages.hpp"

#include <cstddef>

namespace cicadahatch::gateway {

namespace {

/// Bytes of changes that are passed on: with a hundred listeners that read slowly, an eighth of the
/// memory of the smallest VMs.
constexpr std::size_t max_spread_bytes = 96UL * 1024;

std::size_t bytes_of(const std::vector<store::change>& changes) {
    std::size_t bytes = 0;
    for (const store::change& row : changes) {
        bytes += row.changed.key.size() + row.changed.value.size();
    }
    return bytes;
}

} // namespace

rpc::registry_look to_message(const discovery::store_delta& look) {
    rpc::registry_look told;
    told.after = look.after;
    told.through = look.through;
    told.settling = look.grace_period;
    if (bytes_of(look.changes) > max_spread_bytes) {
        told.after = look.through;
        return told;
    }
    for (const store::change& row : look.changes) {
        told.changes.push_back(
            {row.changed.key, row.changed.value, row.changed.modified, row.is_erased});
    }
    return told;
}

discovery::store_delta to_look(const rpc::registry_look& heard) {
    discovery::store_delta look;
    look.after = heard.after;
    look.through = heard.through;
    look.grace_period = heard.settling;
    for (const rpc::registry_change& row : heard.changes) {
        store::change change;
        change.changed.key = row.key;
        change.changed.value = row.value;
        change.changed.modified = row.modified;
        change.is_erased = row.is_erased;
        look.changes.push_back(std::move(change));
    }
    return look;
}

} // namespace cicadahatch::gateway
