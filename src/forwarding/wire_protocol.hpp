#pragma once

#include "src/core/identifiers.hpp"
#include "src/core/result.hpp"
#include "src/forwarding/asio.hpp"
#include "src/http/endpoint.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::forwarding {

/// \brief Metadata from the head of a caller's request.
struct request_metadata {
    request_id id; ///< identifies this attempt of the caller; empty if not stated
    std::optional<std::chrono::milliseconds>
        timeout;                    ///< how long the caller waits for the response
    std::optional<std::string> key; ///< identifies the caller's team
    bool states_tokens = false;     ///< whether the next two fields are stated
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::optional<std::uint32_t> expected_output_tokens; ///< the caller's estimate
    std::optional<std::uint64_t> last_event;             ///< resumes the stream after this event
    std::uint64_t prompt_key =
        0; ///< hash that is the same when the caller retries; zero if unknown
    /// Hashes of the prompt's parts that other requests may share, in order. Excludes the last
    /// part, which belongs to the request or to its session.
    std::vector<std::uint64_t> shared_prompt_parts;
};

/// \brief Fields that this daemon adds to a request to a backend server.
struct send_options {
    backend_id target; ///< other backend servers refuse the request
    std::chrono::milliseconds time_left{0};
    std::optional<std::uint32_t> priority; ///< 0 is the most urgent
    bool is_prefill_only = false;
    std::string kv_source; ///< where the engine fetches the KV cache; empty: nowhere
    std::string hold;      ///< reservation on the engine; empty: none
    std::optional<std::uint64_t> last_event;
};

/// \brief Metadata from the head of a backend server's response.
struct response_metadata {
    request_id id;                ///< request that the response belongs to; empty if not stated
    bool is_signed = false;       ///< a success without a signature is not from the server
    bool is_not_executed = false; ///< the server states that it has not executed the request
    bool is_leaving = false;      ///< the server accepts no more work until it restarts
    /// How long this daemon must not send requests to the server.
    std::optional<std::chrono::milliseconds> retry_after;
    /// Requests per second that the server accepts from all daemons together; empty: no limit.
    std::optional<double> max_requests_per_second;
};

/// \brief Response to a successful prefill.
struct prefill_result {
    std::string handle;
    std::uint32_t tokens = 0;
};

/// \brief Load report of an engine; some hundred milliseconds old.
struct engine_report {
    std::uint32_t running = 0;         ///< requests
    std::uint32_t used_tokens = 0;     ///< KV memory that can't be evicted
    std::uint64_t accepted_orders = 0; ///< role orders accepted since the engine's start
};

/// \brief HTTP call to an engine's management interface.
struct engine_call {
    std::string method;
    std::string target;
    std::string body; ///< JSON; may be empty
};

/// \brief Encoding of the platform-specific fields and calls of callers and backend servers.
struct wire_protocol {
    std::string_view readiness_path;
    std::string_view authentication_scheme; ///< of the callers' keys (RFC 9110, 11.1)
    request_metadata (*parse_request)(const field_map& head) = nullptr;
    /// Replaces the caller's key by the name of its team; an empty identifier names none.
    void (*set_team)(field_map& head, const team_id& team) = nullptr;
    /// Removes the fields reserved for this daemon and sets those of the options.
    void (*set_request_fields)(field_map& head, const send_options& options) = nullptr;
    response_metadata (*parse_response)(const field_map& head) = nullptr;
    engine_call (*make_hold_call)(std::uint32_t tokens, std::chrono::milliseconds lease) = nullptr;
    engine_call (*make_release_hold_call)(const std::string& hold) = nullptr;
    engine_call (*make_release_handle_call)(const std::string& handle) = nullptr;
    engine_call (*make_report_call)() = nullptr;
    result<engine_report> (*parse_report)(std::string_view body) = nullptr;
    /// Order to change the role. The engine refuses it if its number of accepted orders differs.
    engine_call (*make_role_call)(backend_role role, const daemon_id& issuer, fencing_number number,
                                  std::uint64_t accepted_orders) = nullptr;
    void (*set_target)(field_map& head, const backend_id& target) = nullptr;
    result<std::string> (*parse_hold)(std::string_view body) = nullptr;
    result<prefill_result> (*parse_prefill)(std::string_view body) = nullptr;
    std::string (*make_kv_source)(const http::endpoint& engine,
                                  const std::string& handle) = nullptr;
};

} // namespace cicadahatch::forwarding
