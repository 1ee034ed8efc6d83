#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace cicadahatch {

/// \brief Decodes CBOR that may come from anywhere: neither deep nesting nor false sizes harm.
/// \param bytes one CBOR item and nothing after it
/// \returns the item, or nothing if the bytes are not CBOR or nest deeper than a few levels
[[nodiscard]] std::optional<nlohmann::json> decode_cbor(std::string_view bytes);

/// \returns the value in CBOR
[[nodiscard]] std::string encode_cbor(const nlohmann::json& value);

} // namespace cicadahatch
