#pragma once

#include "src/forwarding/caller_connection.hpp"
#include "src/forwarding/exchange.hpp"

namespace cicadahatch::forwarding {

/// \returns a backend server's whole answer as it goes to the caller
[[nodiscard]] caller_answer to_caller(full_response answer);

/// \returns whether the answer may be handed on: a success counts only with its signature
[[nodiscard]] bool is_sound(const full_response& answer);

/// \brief Logs and counts the end of a request.
void log_end(gateway_state& state, const request_context& request, unsigned status,
             std::string_view outcome, std::string_view reason, unsigned sends);

} // namespace cicadahatch::forwarding
