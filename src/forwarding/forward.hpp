#pragma once

#include "src/forwarding/caller_connection.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/request_context.hpp"

namespace cicadahatch::forwarding {

/// \brief An admitted request, or the response to a rejected one.
struct admission {
    request_context_ptr request; ///< null: rejected
    caller_response rejection;
    std::size_t memory = 0; ///< held for an admitted request; the receiver releases it
};

/// \brief Matches a request to its route and admits or rejects it.
[[nodiscard]] admission admit(gateway_state& state, backend_request message);

/// \brief Serves a request and sends its final response unless the caller has disconnected.
[[nodiscard]] asio::awaitable<void> forward(gateway_state& state, request_context_ptr request,
                                            caller_connection& caller);

} // namespace cicadahatch::forwarding
