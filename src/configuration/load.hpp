#pragma once

#include "src/configuration/snapshot.hpp"
#include "src/core/result.hpp"
#include "src/platform/store.hpp"

namespace cicadahatch::configuration {

/// \brief Reads the configuration in force, in one call of the store.
/// \returns the snapshot, errc::not_published, errc::inconsistent, or the store's error
[[nodiscard]] result<snapshot_ptr> load(platform::store& kept);

} // namespace cicadahatch::configuration
