#pragma once

#include "src/configuration/snapshot.hpp"
#include "src/core/result.hpp"
#include "src/store/key_value_store.hpp"

namespace cicadahatch::configuration {

/// \brief Reads the configuration in force, in one call of the store.
/// \returns the snapshot, errc::not_published, errc::inconsistent, or the store's error
[[nodiscard]] result<snapshot_ptr> load(store::key_value_store& kept);

} // namespace cicadahatch::configuration
