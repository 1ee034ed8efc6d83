#pragma once

#include "src/cells/crash_suspects.hpp"
#include "src/core/clock.hpp"
#include "src/rpc/messages.hpp"
#include "src/scheduling/grant.hpp"
#include "src/scheduling/request.hpp"

namespace cicadahatch::cells {

/// \brief Converts a daemon's acquire message into the scheduler's request specification.
[[nodiscard]] scheduling::request_spec to_spec(const daemon_id& owner, const rpc::acquire& request,
                                               time_point now);

/// \brief Converts a grant into the message sent to its owner.
[[nodiscard]] rpc::granted to_granted(const cell_id& cell, const scheduling::grant& grant);

/// \brief Converts a refusal into the message sent to the request's owner.
[[nodiscard]] rpc::refused to_refused(const cell_id& cell, const scheduling::refusal& refusal);

/// \brief Converts a live grant into the record exchanged between homes and grant owners.
[[nodiscard]] rpc::grant_record to_record(const scheduling::live_grant& live, time_point now);

/// \brief Converts a part received from another daemon.
[[nodiscard]] suspect_part to_suspect(const rpc::crashing_part& known, time_point now);

/// \brief Lists all that is known of parts that crash engines.
[[nodiscard]] rpc::crashing_parts to_message(const crash_suspects& suspects, time_point now);

/// \brief Converts a record registered by a grant's owner into a live grant.
[[nodiscard]] scheduling::live_grant to_live_grant(const daemon_id& owner,
                                                   const rpc::grant_record& record, time_point now);

} // namespace cicadahatch::cells
