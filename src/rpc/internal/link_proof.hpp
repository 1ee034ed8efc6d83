#pragma once

#include "src/core/identifiers.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace cicadahatch::rpc::internal {

/// \brief Who opens a link to whom.
struct link_ends {
    daemon_id sender;
    incarnation sender_incarnation;
    daemon_id recipient; ///< empty: whoever listens there
};

/// \returns the path of the WebSocket upgrade, with a proof that the sender knows the secret and
/// the offer to compress
[[nodiscard]] std::string link_path(const link_ends& ends, const std::string& secret);

/// \brief Checks the proof, in a time that does not depend on where it differs.
/// \param query the query of the upgrade's path
/// \returns who opens the link, or nothing if the proof is wrong
[[nodiscard]] std::optional<link_ends> check_link_query(std::string_view query,
                                                        const std::string& secret);

/// \param query the query of the upgrade's path
/// \returns whether the sender offers to compress all batches after the first
[[nodiscard]] bool offers_deflate(std::string_view query);

} // namespace cicadahatch::rpc::internal
