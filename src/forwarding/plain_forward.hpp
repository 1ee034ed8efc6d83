#pragma once

#include "src/forwarding/caller_connection.hpp"

namespace cicadahatch::forwarding {

/// \brief Serves a request of a plain service.
///
/// A request that may not be repeated goes to another server only if the first one has certainly
/// not run it.
[[nodiscard]] asio::awaitable<void> forward_plain(gateway_state& state, request_context_ptr request,
                                                  caller_connection& caller);

} // namespace cicadahatch::forwarding
