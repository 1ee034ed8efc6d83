#pragma once

#include <cstddef>
#include <string_view>

namespace cicadahatch::engines::internal {

/// \brief Bounds how much of a token stream is still to come for the event that has begun.
///
/// CivetWeb's reads block until all bytes asked for have come. Asking for no more than this never
/// waits for a byte of the next event, and needs far fewer calls than reading byte by byte.
/// \param begun the event so far, without carriage returns
/// \returns a lower bound; at least one
[[nodiscard]] std::size_t min_remaining_bytes(std::string_view begun);

} // namespace cicadahatch::engines::internal
