#pragma once

#include "src/forwarding/caller_connection.hpp"

namespace cicadahatch::forwarding {

/// \brief Serves a stream: reserves a place at a decode engine, has a prefill engine read the
/// prompt, and hands on the events of the decode engine.
///
/// The place comes first, since a finished prefill is kept for less than a second. A stream that
/// breaks goes on at another engine if its route allows that.
[[nodiscard]] asio::awaitable<void>
forward_stream(gateway_state& state, request_context_ptr request, caller_connection& caller);

} // namespace cicadahatch::forwarding
