#pragma once

#include "src/core/result.hpp"

#include <string>

namespace cicadahatch::tool {

/// \returns the generated part of docs/CONFIGURATION.md, with its markers
[[nodiscard]] std::string configuration_reference();

/// \returns the page with its generated part replaced, or errc::missing_markers
[[nodiscard]] result<std::string> replace_reference(const std::string& page);

} // namespace cicadahatch::tool
