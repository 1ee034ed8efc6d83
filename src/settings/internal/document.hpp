#pragma once

#include "src/settings/internal/fault_list.hpp"

#include <json/value.h>
#include <string_view>

namespace cicadahatch::settings::internal {

/// \returns whether the bytes are valid UTF-8
[[nodiscard]] bool is_utf8(std::string_view bytes);

/// \brief Parses JSON with comments.
/// \param faults receives faults of size, encoding, syntax and repeated names
/// \returns the document; usable only if no fault was added
[[nodiscard]] Json::Value parse_document(std::string_view text, fault_list& faults);

} // namespace cicadahatch::settings::internal
