#pragma once

#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/request_context.hpp"

#include <string>

namespace cicadahatch::forwarding {

/// \brief An exchange whose response head has been read.
struct open_exchange {
    std::error_code error; ///< if set, the connection is closed
    connection_ptr connection;
};

/// \brief A response with its complete body.
struct full_response {
    std::error_code error;
    unsigned status = 0;
    std::string reason;
    field_map head;
    response_metadata metadata;
    std::string body;
};

[[nodiscard]] bool is_success(unsigned status) noexcept;

/// \brief Reads the rest of the response body.
/// \returns the failure; errc::too_large for a body of more than max_full_response_bytes
[[nodiscard]] asio::awaitable<std::error_code> read_remaining_body(connection_ptr connection,
                                                                   std::string& body);

/// \brief Sends a request to a backend server and reads the head of its response. Up to
/// max_foreign_responses responses to other requests are dropped.
/// \param deadline when the exchange times out
[[nodiscard]] asio::awaitable<open_exchange>
start_exchange(gateway_state& state, request_context_ptr request, discovery::backend target,
               backend_request outgoing, time_point deadline);

/// \brief Sends a request to a backend server and reads the complete response.
[[nodiscard]] asio::awaitable<full_response>
send_request(gateway_state& state, request_context_ptr request, discovery::backend target,
             backend_request outgoing, time_point deadline);

/// \brief Calls an engine's management interface.
/// \param request cancels the call when it ends; may be null
[[nodiscard]] asio::awaitable<full_response> call_engine(gateway_state& state,
                                                         request_context_ptr request,
                                                         discovery::backend target,
                                                         engine_call call);

/// \brief Calls an engine without waiting for the response, such as to free memory.
void post_to_engine(gateway_state& state, const discovery::backend& target, engine_call call);

/// \returns the caller's request with the fields for a backend server set
[[nodiscard]] backend_request make_backend_request(const gateway_state& state,
                                                   const request_context& request,
                                                   const send_options& options);

} // namespace cicadahatch::forwarding
