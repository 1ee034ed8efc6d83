#include "src/scheduling/internal/cache_view.hpp"

#include "src/scheduling/constants.hpp"

#include <algorithm>

namespace cicadahatch::scheduling::internal {

namespace {

constexpr std::size_t max_expected_prefixes = 1'024;

void apply(engine& on, const cell_policy& policy, const cache_event& event) {
    if (!event.is_stored) {
        on.cached.erase(event.prefix_hash);
    } else if (on.cached.size() < policy.max_cached_prefixes) {
        on.cached.insert(event.prefix_hash);
    }
}

} // namespace

std::uint32_t cached_tokens(const engine& on, const request_spec& asked) {
    std::uint32_t tokens = 0;
    for (const std::uint64_t hash : asked.prefix_hashes) {
        if (!on.cached.contains(hash)) {
            break;
        }
        tokens += asked.block_tokens;
    }
    return std::min(tokens, asked.prompt_tokens);
}

bool apply_cache_events(engine& on, const cell_policy& policy, const cache_event_batch& batch) {
    const std::uint64_t end = batch.first_sequence + batch.events.size();
    if (batch.is_snapshot) {
        on.cached.clear();
        // A snapshot is older than the latest grants; the next one must confirm what they expect.
        on.cached.insert(on.expected.begin(), on.expected.end());
        on.expected.clear();
        on.has_cache_view = true;
        on.next_cache_sequence = batch.first_sequence;
    }
    if (end <= on.next_cache_sequence && !batch.is_snapshot) {
        return on.has_cache_view;
    }
    if (batch.first_sequence > on.next_cache_sequence) {
        on.cached.clear();
        on.has_cache_view = false;
    }
    if (!on.has_cache_view) {
        return false;
    }
    std::uint64_t sequence = batch.first_sequence;
    for (const cache_event& event : batch.events) {
        if (sequence++ >= on.next_cache_sequence) {
            apply(on, policy, event);
        }
    }
    on.next_cache_sequence = end;
    return true;
}

void expect_cached(engine& on, const cell_policy& policy,
                   const std::vector<std::uint64_t>& prefix_hashes) {
    if (!on.has_cache_view ||
        on.cached.size() + prefix_hashes.size() > policy.max_cached_prefixes) {
        return;
    }
    on.cached.insert(prefix_hashes.begin(), prefix_hashes.end());
    if (on.expected.size() + prefix_hashes.size() <= max_expected_prefixes) {
        on.expected.insert(on.expected.end(), prefix_hashes.begin(), prefix_hashes.end());
    }
}

void correct_cached(engine& on, const live_grant& held, std::uint32_t found_tokens) {
    const std::size_t expected = held.issued.expected_cached_tokens / held.block_tokens;
    std::size_t place = found_tokens / held.block_tokens;
    // What the prefill has just computed is cached now; only what was wrongly expected is doubtful.
    for (; place < expected && place < held.prefix_hashes.size(); ++place) {
        on.cached.erase(held.prefix_hashes[place]);
    }
}

} // namespace cicadahatch::scheduling::internal
