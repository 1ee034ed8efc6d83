#pragma once

#include "src/forwarding/caller_connection.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/request_context.hpp"

namespace cicadahatch::forwarding {

/// \brief A request that is served, or the answer to one that is not.
struct admission {
    request_context_ptr request; ///< null: the request is refused
    caller_answer refusal;
};

/// \brief Finds the route of a request.
[[nodiscard]] admission admit(gateway_state& state, backend_request message);

/// \brief Serves a request and sends its final answer, unless the caller has left.
[[nodiscard]] asio::awaitable<void> forward(gateway_state& state, request_context_ptr request,
                                            caller_connection& caller);

} // namespace cicadahatch::forwarding
