#pragma once

#include "src/core/result.hpp"
#include "src/engines/messages.hpp"

#include <string_view>

namespace cicadahatch::engines {

/// \brief Reads the data field of one server-sent event of a token stream.
/// \returns the frame, or errc::malformed_frame
[[nodiscard]] result<frame> parse_frame(std::string_view data);

} // namespace cicadahatch::engines
