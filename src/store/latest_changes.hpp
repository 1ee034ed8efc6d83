#pragma once

#include "src/store/key_value_store.hpp"

#include <string>
#include <vector>

namespace cicadahatch::store {

/// \brief Keys that are read together although one of them has a large value.
struct split_keys {
    std::string large_key;
    std::vector<std::string> prefixes; ///< of all other keys that matter
};

/// \brief Reads the changes since a revision, without values of the large key that were replaced.
///
/// A watch of all keys returns each of these values, so its reply grows with their number. This
/// takes a listing of the large key and a watch of each prefix, of which only the listing is large.
/// The batch is consistent: it ends at the revision of the listing, which is read first.
/// \param from as for key_value_store::watch()
/// \returns the changes in the order of their revisions, except that the large key was erased, or
/// the first error of a call. errc::compacted: the caller has to list all keys, also as the changes
/// of a prefix are too many for a reply. errc::reply_too_large: the large key cannot be read.
[[nodiscard]] result<change_batch> read_latest_changes(key_value_store& kept,
                                                       const split_keys& keys, revision from);

} // namespace cicadahatch::store
