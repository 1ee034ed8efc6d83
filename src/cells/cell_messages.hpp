#pragma once

#include "src/core/clock.hpp"
#include "src/rpc/messages.hpp"
#include "src/scheduling/grant.hpp"
#include "src/scheduling/request.hpp"

namespace cicadahatch::cells {

/// \returns what a cell needs to know of a request that a daemon asks a grant for
[[nodiscard]] scheduling::request_spec to_spec(const daemon_id& owner, const rpc::acquire& asked,
                                               time_point now);

/// \returns the message that tells the owner of its grant
[[nodiscard]] rpc::granted to_granted(const cell_id& cell, const scheduling::grant& issued);

/// \returns the message that tells the owner of a refusal
[[nodiscard]] rpc::refused to_refused(const cell_id& cell, const scheduling::refusal& refusal);

/// \returns a live grant as homes and owners tell each other of it
[[nodiscard]] rpc::grant_record to_record(const scheduling::live_grant& held, time_point now);

/// \returns the live grant that an owner registers
[[nodiscard]] scheduling::live_grant to_live_grant(const daemon_id& owner,
                                                   const rpc::grant_record& record, time_point now);

} // namespace cicadahatch::cells
