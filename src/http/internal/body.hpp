#pragma once

#include "src/core/result.hpp"
#include "src/http/forward_declarations.hpp"

#include <cstddef>
#include <string>

namespace cicadahatch::http::internal {

/// \brief Reads a whole body from a server's or client's connection.
/// \param announced the Content-Length, or negative if there is none
/// \returns the body, errc::body_too_large or errc::body_truncated
[[nodiscard]] result<std::string> read_body(mg_connection* connection, long long announced,
                                            std::size_t max_bytes);

} // namespace cicadahatch::http::internal
