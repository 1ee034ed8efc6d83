#pragma once

#include "src/core/result.hpp"
#include "src/http/message.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::engines::internal {

/// \brief Maps a transport error to engines::errc.
[[nodiscard]] std::error_code to_engine_error(const std::error_code& transport);

/// \brief Maps a response with a status other than 200 to engines::errc.
[[nodiscard]] std::error_code to_engine_error(const http::response& response);

/// \returns the JSON object in the body of a 200 response, or the mapped error
[[nodiscard]] result<nlohmann::json> parse_object(const result<http::response>& response);

} // namespace cicadahatch::engines::internal
