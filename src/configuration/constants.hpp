#pragma once

#include <cstddef>
#include <cstdint>

namespace cicadahatch::configuration {

/// Every key of the configuration begins with this.
inline constexpr const char* key_prefix = "cicadahatch/configuration/";
/// Names the shards in force; its compare-and-swap accepts a change.
inline constexpr const char* head_key = "cicadahatch/configuration/head";
inline constexpr const char* shard_prefix = "cicadahatch/configuration/shards/";

/// A shard of several services is split when it grows over this. It bounds what one change costs
/// each watching daemon.
inline constexpr std::size_t target_shard_bytes = 64UL * 1024;
inline constexpr std::size_t max_shards = 256;

/// How many revisions back deletions are remembered, so that a peer can be sent the changes alone.
inline constexpr std::uint64_t kept_tombstone_revisions = 10'000;

/// How many accepted changes the head names, so that a publisher whose reply was lost finds its
/// own.
inline constexpr std::size_t recent_changes_kept = 64;

/// Daemons of a failure domain that watch the store.
inline constexpr std::size_t watchers_per_domain = 3;

} // namespace cicadahatch::configuration
