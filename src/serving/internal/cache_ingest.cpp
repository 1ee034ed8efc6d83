#include "src/serving/internal/cache_ingest.hpp"

#include "src/scheduling/cell_inputs.hpp"

namespace cicadahatch::serving::internal {

namespace {

scheduling::cache_event_batch to_snapshot(const backend_row& server) {
    const engines::cached_prefix_set& content = *server.cache;
    scheduling::cache_event_batch batch;
    batch.backend = server.id;
    batch.started = server.started;
    batch.first_sequence = content.sequence - content.prefix_hashes.size();
    batch.is_snapshot = true;
    batch.events.reserve(content.prefix_hashes.size());
    for (const std::uint64_t hash : content.prefix_hashes) {
        batch.events.push_back({hash, true});
    }
    return batch;
}

/// A batch without events whose number shows that the ones before it were missed.
scheduling::cache_event_batch to_gap(const backend_row& server) {
    scheduling::cache_event_batch batch;
    batch.backend = server.id;
    batch.started = server.started;
    batch.first_sequence = server.load.cache_sequence;
    return batch;
}

} // namespace

void ingest_cache(scheduling::cell_state& state, const scheduling::cell_policy& policy,
                  const backend_row& server) {
    const scheduling::engine* on = state.engines.find(server.id);
    if (on == nullptr || server.cache == nullptr) {
        return;
    }
    if (server.cache->sequence < server.load.cache_sequence) {
        scheduling::ingest_cache_events(state, policy, to_gap(server));
        return;
    }
    if (!on->has_cache_view || server.cache->sequence > on->next_cache_sequence) {
        scheduling::ingest_cache_events(state, policy, to_snapshot(server));
    }
}

} // namespace cicadahatch::serving::internal
