#pragma once

#include "src/forwarding/caller_connection.hpp"
#include "src/forwarding/local_response.hpp"

namespace cicadahatch::forwarding {

/// \brief Serves a stream: reserves capacity on a decode engine, runs the prefill on a prefill
/// engine, and forwards the events of the decode engine.
///
/// The reservation comes first, since a finished prefill is kept for less than a second. An
/// interrupted stream is resumed on another engine if its route allows that.
/// \returns whether an engine may have executed it
[[nodiscard]] asio::awaitable<execution_state>
forward_stream(gateway_state& state, request_context_ptr request, caller_connection& caller);

} // namespace cicadahatch::forwarding
