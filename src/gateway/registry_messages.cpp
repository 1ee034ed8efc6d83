#include "src/gateway/registry_messages.hpp"

#include "src/gateway/constants.hpp"

#include <cstddef>

namespace cicadahatch::gateway {

namespace {

std::size_t bytes_of(const std::vector<store::change>& changes) {
    std::size_t bytes = 0;
    for (const store::change& row : changes) {
        bytes += row.changed.key.size() + row.changed.value.size();
    }
    return bytes;
}

} // namespace

rpc::registry_look to_message(const discovery::store_delta& delta) {
    rpc::registry_look message;
    message.after = delta.after;
    message.through = delta.through;
    message.settling = delta.grace_period;
    if (bytes_of(delta.changes) > max_published_bytes) {
        message.after = delta.through;
        return message;
    }
    for (const store::change& row : delta.changes) {
        message.changes.push_back(
            {row.changed.key, row.changed.value, row.changed.modified, row.is_erased});
    }
    return message;
}

discovery::store_delta to_delta(const rpc::registry_look& message) {
    discovery::store_delta delta;
    delta.after = message.after;
    delta.through = message.through;
    delta.grace_period = message.settling;
    for (const rpc::registry_change& row : message.changes) {
        store::change change;
        change.changed.key = row.key;
        change.changed.value = row.value;
        change.changed.modified = row.modified;
        change.is_erased = row.is_erased;
        delta.changes.push_back(std::move(change));
    }
    return delta;
}

rpc::configuration_shard to_message(const store::entry& configuration) {
    rpc::configuration_shard message;
    message.accepted = configuration.modified;
    message.name = configuration.key;
    message.value = configuration.value;
    return message;
}

store::entry to_entry(const rpc::configuration_shard& message) {
    store::entry entry;
    entry.key = message.name;
    entry.value = message.value;
    entry.modified = message.accepted;
    return entry;
}

} // namespace cicadahatch::gateway
