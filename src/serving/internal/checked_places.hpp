#pragma once

#include "src/http/endpoint.hpp"

#include <string>
#include <vector>

namespace cicadahatch::serving::internal {

/// \param texts endpoints from checked settings
/// \returns the endpoints in their order
[[nodiscard]] std::vector<http::endpoint> to_places(const std::vector<std::string>& texts);

} // namespace cicadahatch::serving::internal
