#pragma once

#include <cstddef>
#include <string_view>

namespace cicadahatch::engines::internal {

/// \brief Lower bound on the number of bytes missing from a partially received event.
///
/// Requesting no more than this bound never reads a byte of the next event, and needs far fewer
/// calls than reading by byte.
/// \param partial the event received so far, without carriage returns
/// \returns the bound, at least one
[[nodiscard]] std::size_t min_remaining_bytes(std::string_view partial);

} // namespace cicadahatch::engines::internal
