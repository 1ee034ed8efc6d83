#pragma once

#include "src/forwarding/caller_connection.hpp"
#include "src/forwarding/exchange.hpp"
#include "src/forwarding/local_response.hpp"

namespace cicadahatch::forwarding {

/// \returns a backend server's response converted for the caller
[[nodiscard]] caller_response make_caller_response(full_response response);

/// \returns whether the response may be forwarded; a success must be signed
[[nodiscard]] bool is_valid_response(const full_response& response);

/// \returns the final response to a request that no backend server has answered
/// \param retry_after for a request that was not executed
[[nodiscard]] caller_response make_failure_response(const gateway_state& state,
                                                    const request_context& request,
                                                    execution_state execution,
                                                    std::chrono::milliseconds retry_after);

/// \brief Logs the end of a request and records its metrics.
void record_request_end(gateway_state& state, const request_context& request, unsigned status,
                        std::string_view outcome, std::string_view reason, unsigned sends);

} // namespace cicadahatch::forwarding
