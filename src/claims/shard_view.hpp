#pragma once

#include "src/claims/segment.hpp"
#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/core/result.hpp"
#include "src/store/key_value_store.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::claims {

/// \brief A segment as read from the store or written to it.
struct held_segment {
    segment stored;
    revision at;           ///< of its last write; empty: not created yet
    bool is_fresh = false; ///< read or written since the current run began
};

/// \brief What is remembered of a sealed segment. Its set of keys is final; claims in it may still
/// change their state.
struct sealed_segment {
    std::uint64_t number = 0;
    std::vector<std::uint64_t> digests; ///< sorted
    wall_time due;                      ///< when it may be compacted or erased
};

/// \brief What one daemon knows of one shard. Whatever it says is checked by compare-and-swap or
/// by a read, but that every sealed segment of the shard is in it as soon as the head is known.
struct shard_view {
    std::string prefix; ///< of the segments' keys in the store
    bool is_loaded = false;
    std::uint64_t head = 1;
    bool may_create_head = false; ///< the segment before it is known to be sealed, or there is none
    std::optional<held_segment> held_head;
    std::vector<sealed_segment> sealed; ///< by increasing number
};

/// \returns an empty view of a shard
[[nodiscard]] shard_view make_shard_view(const service_id& service, std::uint64_t shard);

/// \returns the shard in which a key is claimed
[[nodiscard]] std::uint64_t shard_of(const idempotency_key& key);

/// \returns the store's key of a segment; the order of keys is that of the numbers
[[nodiscard]] std::string segment_key(const shard_view& view, std::uint64_t number);

/// \brief Takes in all segments of the shard.
/// \param listed the entries below the view's prefix
/// \returns errc::malformed if one of them can't be read
[[nodiscard]] result<void> load(shard_view& view, const store::listing& listed);

/// \brief Takes note that the head is sealed; the next segment becomes the head.
void note_sealed(shard_view& view, const segment& stored);

/// \returns when a sealed segment may be compacted or erased
[[nodiscard]] wall_time next_due(const segment& stored);

/// \brief Forgets a sealed segment that was erased.
void forget(shard_view& view, std::uint64_t number);

/// \returns the sealed segments that may have the key, newest first
[[nodiscard]] std::vector<std::uint64_t> candidates(const shard_view& view,
                                                    const idempotency_key& key);

} // namespace cicadahatch::claims
