#pragma once

#include "programs/cicadahatch/admin_client.hpp"
#include "src/core/identifiers.hpp"

#include <chrono>

namespace cicadahatch::tool {

/// \returns the revision of an answer to GET /admin/v1/configuration, or why there is none
[[nodiscard]] result<revision> revision_of(const daemon_reply& reply);

/// \brief Asks the daemons until all that can be reached have a revision in force, or the time is
/// over.
/// \returns the last answers; errc::not_in_force for daemons that lag
[[nodiscard]] std::vector<daemon_reply> wait_in_force(const admin_target& target, revision wanted,
                                                      std::chrono::milliseconds longest);

} // namespace cicadahatch::tool
