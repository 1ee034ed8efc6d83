#pragma once

#include "src/configuration/snapshot.hpp"
#include "src/core/result.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::configuration::internal {

/// \brief Records of services and tombstones, in the store's shards and between peers.

[[nodiscard]] nlohmann::json encode_service(const accepted_service& accepted);
[[nodiscard]] nlohmann::json encode_tombstone(const service_id& name, revision erased);

/// \brief Adds the services and tombstones of `{"services": [...], "tombstones": [...]}`.
/// \returns errc::malformed if any of them can't be read; the maps are then unusable
[[nodiscard]] result<void> decode_records(const nlohmann::json& object, service_map& services,
                                          tombstone_map& tombstones);

/// \returns the number, or zero if it is absent or none
[[nodiscard]] std::uint64_t number_at(const nlohmann::json& object, const char* name);
/// \returns the text, or an empty one if it is absent or none
[[nodiscard]] std::string text_at(const nlohmann::json& object, const char* name);

} // namespace cicadahatch::configuration::internal
