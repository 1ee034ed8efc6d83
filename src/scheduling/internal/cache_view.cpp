#include "src/scheduling/internal/cache_view.hpp"

#include "src/scheduling/constants.hpp"

#include <algorithm>

namespace cicadahatch::scheduling::internal {

namespace {

constexpr std::size_t max_expected_prefixes = 1'024;

void apply(engine& instance, const cell_policy& policy, const cache_event& event) {
    if (!event.is_stored) {
        instance.cached.erase(event.prefix_hash);
    } else if (instance.cached.size() < policy.max_cached_prefixes) {
        instance.cached.insert(event.prefix_hash);
    }
}

} // namespace

std::uint32_t cached_tokens(const engine& instance, const request_spec& asked) {
    std::uint32_t tokens = 0;
    for (const std::uint64_t hash : asked.prefix_hashes) {
        if (!instance.cached.contains(hash)) {
            break;
        }
        tokens += asked.block_tokens;
    }
    return std::min(tokens, asked.prompt_tokens);
}

bool apply_cache_events(engine& instance, const cell_policy& policy,
                        const cache_event_batch& batch) {
    const std::uint64_t end = batch.first_sequence + batch.events.size();
    if (batch.is_snapshot) {
        instance.cached.clear();
        // A snapshot may predate the latest grants, so their expected prefixes are kept until the
        // next snapshot confirms or removes them.
        instance.cached.insert(instance.expected.begin(), instance.expected.end());
        instance.expected.clear();
        instance.has_cache_view = true;
        instance.next_cache_sequence = batch.first_sequence;
    }
    if (end <= instance.next_cache_sequence && !batch.is_snapshot) {
        return instance.has_cache_view;
    }
    if (batch.first_sequence > instance.next_cache_sequence) {
        instance.cached.clear();
        instance.has_cache_view = false;
    }
    if (!instance.has_cache_view) {
        return false;
    }
    std::uint64_t sequence = batch.first_sequence;
    for (const cache_event& event : batch.events) {
        if (sequence++ >= instance.next_cache_sequence) {
            apply(instance, policy, event);
        }
    }
    instance.next_cache_sequence = end;
    return true;
}

void expect_cached(engine& instance, const cell_policy& policy,
                   const std::vector<std::uint64_t>& prefix_hashes) {
    if (!instance.has_cache_view ||
        instance.cached.size() + prefix_hashes.size() > policy.max_cached_prefixes) {
        return;
    }
    instance.cached.insert(prefix_hashes.begin(), prefix_hashes.end());
    if (instance.expected.size() + prefix_hashes.size() <= max_expected_prefixes) {
        instance.expected.insert(instance.expected.end(), prefix_hashes.begin(),
                                 prefix_hashes.end());
    }
}

void correct_cached(engine& instance, const live_grant& held, std::uint32_t found_tokens) {
    const std::size_t expected = held.issued.expected_cached_tokens / held.block_tokens;
    std::size_t place = found_tokens / held.block_tokens;
    // The prefill has just cached the blocks that it computed; only the wrongly expected blocks are
    // removed.
    for (; place < expected && place < held.prefix_hashes.size(); ++place) {
        instance.cached.erase(held.prefix_hashes[place]);
    }
}

} // namespace cicadahatch::scheduling::internal
