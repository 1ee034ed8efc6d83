#pragma once

#include "src/core/identifiers.hpp"
#include "src/engines/messages.hpp"
#include "src/rpc/messages.hpp"
#include "src/scheduling/grant.hpp"

namespace cicadahatch::cells {

/// \returns the name under which a cell knows one attempt of a request
[[nodiscard]] request_id attempt_key(const request_id& request, attempt_number attempt);

/// \returns the attempt that a cell's name stands for
[[nodiscard]] engines::attempt_id parse_attempt_key(const request_id& attempt_key);

[[nodiscard]] scheduling::outcome to_outcome(rpc::release_outcome ended);
[[nodiscard]] rpc::refusal_reason to_refusal_reason(const std::error_code& reason);

} // namespace cicadahatch::cells
