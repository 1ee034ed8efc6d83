#pragma once

#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/request_context.hpp"

#include <string>

namespace cicadahatch::forwarding {

/// \brief An exchange whose answer's head has been read.
struct open_exchange {
    std::error_code error; ///< if set, the connection is closed
    connection_ptr connection;
};

/// \brief A whole answer.
struct full_response {
    std::error_code error;
    unsigned status = 0;
    std::string reason;
    field_map head;
    response_metadata metadata;
    std::string body;
};

[[nodiscard]] bool is_success(unsigned status) noexcept;

/// \brief Reads the rest of an answer's body.
/// \returns the failure, errc::too_large for a body without a reasonable end
[[nodiscard]] asio::awaitable<std::error_code> read_rest(connection_ptr connection,
                                                         std::string& body);

/// \brief Sends a request to a backend server and reads the head of the answer to it. Answers to
/// other requests that arrive in its place are dropped.
/// \param silent_at when a server that has sent nothing is given up
[[nodiscard]] asio::awaitable<open_exchange> open(gateway_state& state, request_context_ptr request,
                                                  discovery::backend to, backend_request sent,
                                                  time_point silent_at);

/// \brief Sends a request to a backend server and reads the whole answer.
[[nodiscard]] asio::awaitable<full_response> call(gateway_state& state, request_context_ptr request,
                                                  discovery::backend to, backend_request sent,
                                                  time_point silent_at);

/// \brief Sends a call of an engine's own interface, apart from any request.
[[nodiscard]] asio::awaitable<full_response> call_engine(gateway_state& state,
                                                         request_context_ptr request,
                                                         discovery::backend to, engine_call made);

/// \brief Sends a call whose answer nobody waits for, such as one that frees memory.
void post_to_engine(gateway_state& state, const discovery::backend& to, engine_call made);

/// \returns the request for a backend server with the options set
[[nodiscard]] backend_request prepared(const gateway_state& state, const request_context& request,
                                       const send_options& options);

} // namespace cicadahatch::forwarding
