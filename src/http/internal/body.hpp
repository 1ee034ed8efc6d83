#pragma once

#include "src/core/result.hpp"
#include "src/http/forward_declarations.hpp"

#include <cstddef>
#include <functional>
#include <string>

namespace cicadahatch::http::internal {

/// \brief Reads a whole body from a server's or client's connection.
/// \param announced the Content-Length, or negative if there is none
/// \param is_late asked between two reads, whether to wait no longer
/// \returns the body, errc::body_too_large, errc::body_truncated or errc::body_late
[[nodiscard]] result<std::string> read_body(
    mg_connection* connection, long long announced, std::size_t max_bytes,
    const std::function<bool()>& is_late = [] { return false; });

} // namespace cicadahatch::http::internal
