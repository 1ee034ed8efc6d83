#pragma once

#include "src/forwarding/caller_connection.hpp"
#include "src/forwarding/exchange.hpp"

namespace cicadahatch::forwarding {

/// \returns a backend server's response converted for the caller
[[nodiscard]] caller_response make_caller_response(full_response response);

/// \returns whether the response may be forwarded; a success must be signed
[[nodiscard]] bool is_valid_response(const full_response& response);

/// \brief Logs the end of a request and records its metrics.
void record_request_end(gateway_state& state, const request_context& request, unsigned status,
                        std::string_view outcome, std::string_view reason, unsigned sends);

} // namespace cicadahatch::forwarding
