#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace cicadahatch::claims {

/// Shards of one service. Every daemon must use the same number: a claim is looked for in one
/// shard only. To change it, change layout_version and wait out the tombstones of the old one.
inline constexpr std::uint64_t shard_count = 8;

/// Version of the keys and values in the store.
inline constexpr std::uint32_t layout_version = 1;

/// A segment takes no new keys once it holds this many claims.
inline constexpr std::size_t max_segment_claims = 128;

/// A segment takes no new keys once its first claim is this part of the kept time old.
inline constexpr int segment_ages_per_kept_time = 8;

/// Longest body of an outcome that is kept; of a longer one only the digest is.
inline constexpr std::size_t max_kept_body_bytes = 2'048;

/// Longest content type of an outcome that is kept.
inline constexpr std::size_t max_content_type_bytes = 128;

/// Room for everything but the outcome's body in one encoded claim.
inline constexpr std::size_t max_claim_head_bytes = 768;

/// The platform's bound on a value, in bytes.
inline constexpr std::size_t max_value_bytes = 1'000'000;

static_assert(max_segment_claims * (max_kept_body_bytes + max_claim_head_bytes) < max_value_bytes);

/// Most operations of concurrent callers in one write.
inline constexpr std::size_t default_max_batch = 64;

/// Store calls that failed before an operation gives up.
inline constexpr int max_store_errors = 3;

/// Writes that lost a race before an operation gives up.
inline constexpr int max_lost_races = 16;

/// Longest kept time of a service's claims.
inline constexpr std::chrono::hours max_kept{24 * 366};

/// Kept times for which the digest of a used key outlives its claim.
inline constexpr int tombstone_kept_times = 30;

/// Largest difference between the calendar clocks of two VMs for which times are compared.
inline constexpr std::chrono::seconds max_clock_skew{30};

/// Records and abandonments that wait for the store to come back; the oldest is dropped beyond it.
inline constexpr std::size_t max_unsettled = 10'000;

} // namespace cicadahatch::claims
