#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cicadahatch::store::internal {

/// \returns the bytes in base64 with padding
[[nodiscard]] std::string encode_base64(std::string_view bytes);

/// \returns the bytes, or nothing if the text is not base64 with padding
[[nodiscard]] std::optional<std::string> decode_base64(std::string_view text);

} // namespace cicadahatch::store::internal
