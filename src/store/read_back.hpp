#pragma once

#include "src/store/key_value_store.hpp"

namespace cicadahatch::store {

/// \brief A compare-and-swap whose unknown outcome is found out by reading the key.
///
/// The value must be one that nobody else writes, such as one with a unique token. If the key
/// still stands at the expected revision the same swap is sent again, which is safe even if the
/// first is still on its way: at most one of them can find the expected revision.
/// \param reads most readings of the key
/// \returns the outcome; errc::outcome_unknown if it can't be found out, which includes a key that
/// others have written after ours may have been
[[nodiscard]] result<swap_outcome> swap_with_read_back(key_value_store& kept,
                                                       const std::string& key, revision expected,
                                                       const std::string& value,
                                                       lease_id lease = {}, int reads = 3);

} // namespace cicadahatch::store
