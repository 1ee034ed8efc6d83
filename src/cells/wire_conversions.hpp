#pragma once

#include "src/core/identifiers.hpp"
#include "src/engines/messages.hpp"
#include "src/rpc/messages.hpp"
#include "src/scheduling/grant.hpp"

namespace cicadahatch::cells {

/// \returns the identifier of one attempt of a request in a cell's tables: "<request>#<attempt>"
[[nodiscard]] request_id attempt_key(const request_id& request, attempt_number attempt);

/// \param key made by attempt_key()
/// \returns the request and attempt number encoded in the key
[[nodiscard]] engines::attempt_id parse_attempt_key(const request_id& key);

[[nodiscard]] scheduling::outcome to_outcome(rpc::release_outcome outcome);
[[nodiscard]] rpc::refusal_reason to_refusal_reason(const std::error_code& reason);

} // namespace cicadahatch::cells
