#pragma once

namespace cicadahatch::http::internal {

/// \brief Initialises CivetWeb, once per process.
void ensure_library();

} // namespace cicadahatch::http::internal
