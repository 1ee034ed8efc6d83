#pragma once

#include "src/core/result.hpp"
#include "src/engines/messages.hpp"

#include <string_view>

namespace cicadahatch::engines {

/// \brief Parses the data field of a server-sent event of a token stream.
/// \returns the frame, or errc::malformed_frame
[[nodiscard]] result<frame> parse_frame(std::string_view data);

} // namespace cicadahatch::engines
