#pragma once

#include "src/core/result.hpp"
#include "src/http/message.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::engines::internal {

/// \returns the engines::errc that a transport failure means for the call
[[nodiscard]] std::error_code to_engine_error(const std::error_code& transport);

/// \returns the engines::errc that an answer other than 200 means for the call
[[nodiscard]] std::error_code to_engine_error(const http::response& answer);

/// \returns the JSON object of a 200 answer, or the error that the answer means
[[nodiscard]] result<nlohmann::json> parse_object(const result<http::response>& answer);

} // namespace cicadahatch::engines::internal
