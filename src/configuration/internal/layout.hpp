#pragma once

#include "src/configuration/snapshot.hpp"
#include "src/core/result.hpp"
#include "src/store/key_value_store.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::configuration::internal {

/// \brief An accepted change, as the head names it.
struct recent_change {
    revision at;
    std::string id;
};

/// \brief The value of the head key.
struct head {
    revision at;
    revision tombstones_since;
    std::uint64_t fingerprint = 0;
    std::vector<std::string> shards;   ///< key of each shard; empty: the shard holds nothing
    std::vector<recent_change> recent; ///< newest last
};

[[nodiscard]] std::string encode_head(const head& written);
[[nodiscard]] result<head> decode_head(std::string_view text);

/// \returns the change's revision if the head names it
[[nodiscard]] std::optional<revision> find_change(const head& read, const std::string& id);

/// \brief Part of a configuration.
struct shard {
    service_map services;
    tombstone_map tombstones;
};

[[nodiscard]] std::string encode_shard(const shard& written);
[[nodiscard]] result<shard> decode_shard(std::string_view text);

/// \returns the parts of a snapshot; a name's part depends on the name and the count alone
[[nodiscard]] std::vector<shard> split(const snapshot& whole, std::size_t count);

/// \returns how many shards a snapshot needs, at least as many as before
[[nodiscard]] std::size_t choose_shard_count(const snapshot& whole, std::size_t before);

/// \brief Names a shard's key after the revision and change that write it, so that a key is never
/// written with two values and shows whether it can still come into force.
[[nodiscard]] std::string shard_key(revision target, const std::string& change_id,
                                    std::size_t index);

/// \returns the target revision in a shard's key; empty if it is no such key
[[nodiscard]] revision target_of(const std::string& key);

/// Decoded shards by key.
using shard_map = std::map<std::string, shard>;

/// \returns the snapshot that a head names, or errc::inconsistent if a shard is missing or the
/// whole has another fingerprint
[[nodiscard]] result<snapshot_ptr> assemble(const head& read, const shard_map& shards);

/// \brief Decodes the entries that a head names.
/// \param known shards decoded earlier; a key never changes its value
/// \returns the shards found, or errc::malformed
[[nodiscard]] result<shard_map>
decode_shards(const head& read, const std::vector<store::entry>& entries, const shard_map& known);

/// \brief What a listing of all configuration keys holds.
struct stored {
    revision head_modified; ///< empty: nothing was published
    head read;
    snapshot_ptr whole; ///< null: nothing was published
    shard_map shards;
};

/// \param known shards decoded earlier
[[nodiscard]] result<stored> decode_listing(const std::vector<store::entry>& entries,
                                            const shard_map& known = {});

} // namespace cicadahatch::configuration::internal
