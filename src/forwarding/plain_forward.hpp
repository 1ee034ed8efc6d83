#pragma once

#include "src/forwarding/caller_connection.hpp"
#include "src/forwarding/local_response.hpp"

namespace cicadahatch::forwarding {

/// \brief Serves a request of a plain service.
///
/// A request that is not idempotent is sent to another server only if the previous one has
/// certainly not executed it.
/// \returns whether a server may have executed it
[[nodiscard]] asio::awaitable<execution_state>
forward_plain(gateway_state& state, request_context_ptr request, caller_connection& caller);

} // namespace cicadahatch::forwarding
