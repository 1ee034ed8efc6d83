#pragma once

#include "src/configuration/holder.hpp"
#include "src/core/result.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cicadahatch::configuration {

/// \brief Encodes what a peer at a lower revision lacks, in CBOR.
///
/// The message holds the changes alone if the deletions since the peer's revision are all known,
/// otherwise the whole configuration.
/// \param since the peer's revision; empty: it has none
/// \returns nothing if the snapshot is not newer
[[nodiscard]] std::optional<std::string> encode_since(const snapshot& held, revision since);

/// \brief Takes a peer's message if it leads to a higher revision.
/// \returns whether a snapshot was taken; errc::gap (ask again with the own revision),
/// errc::malformed, or errc::inconsistent (ask for the whole, with the empty revision)
[[nodiscard]] result<bool> merge_from_peer(holder& own, std::string_view bytes);

} // namespace cicadahatch::configuration
