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

namespace cicadahatch::forwarding {

/// \brief What the head of a caller's request says.
struct request_metadata {
    request_id id; ///< of this attempt of the caller; empty if it states none
    std::optional<std::chrono::milliseconds> timeout; ///< how long the caller waits
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    std::optional<std::uint32_t> expected_output_tokens; ///< the caller's estimate
    std::optional<std::uint64_t> last_event;             ///< the stream goes on after this event
    std::uint64_t prompt_key = 0; ///< the same when the caller comes back; zero: not known
};

/// \brief What this daemon tells a backend server beside the caller's request.
struct send_options {
    backend_id target; ///< any other backend server refuses the request
    std::chrono::milliseconds time_left{0};
    std::optional<std::uint32_t> priority; ///< 0 is the most urgent
    bool is_prefill_only = false;
    std::string kv_source; ///< where the engine fetches the prompt's memory; empty: nowhere
    std::string hold;      ///< place reserved at the engine; empty: none
    std::optional<std::uint64_t> last_event;
};

/// \brief What the head of a backend server's answer says.
struct response_metadata {
    request_id id;                ///< of the request that it answers; empty if not stated
    bool is_signed = false;       ///< a success without a signature is not the server's
    bool is_not_executed = false; ///< the server states that it has not run the request
    bool is_leaving = false;      ///< the server takes no more work until it starts anew
    /// How long the server wants nothing from this daemon.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// \brief A finished prefill.
struct prefill_result {
    std::string handle;
    std::uint32_t tokens = 0;
};

/// \brief What an engine says of its load, some hundred milliseconds late.
struct engine_report {
    std::uint32_t running = 0;         ///< requests
    std::uint32_t used_tokens = 0;     ///< memory that can't be taken away
    std::uint64_t accepted_orders = 0; ///< since the engine's start
};

/// \brief A call of an engine's own interface.
struct engine_call {
    std::string method;
    std::string target;
    std::string body; ///< JSON; may be empty
};

/// \brief How callers and backend servers say what the forwarding path works with.
struct wire_protocol {
    std::string_view readiness_path;
    request_metadata (*parse_request)(const field_map& head) = nullptr;
    /// Removes the fields that are this daemon's to set, and sets those of the options.
    void (*set_request_fields)(field_map& head, const send_options& options) = nullptr;
    response_metadata (*parse_response)(const field_map& head) = nullptr;
    engine_call (*make_hold_call)(std::uint32_t tokens, std::chrono::milliseconds lease) = nullptr;
    engine_call (*make_release_hold_call)(const std::string& hold) = nullptr;
    engine_call (*make_release_handle_call)(const std::string& handle) = nullptr;
    engine_call (*make_report_call)() = nullptr;
    result<engine_report> (*parse_report)(std::string_view body) = nullptr;
    /// An order to change the role. An engine that has taken another number of orders refuses it.
    engine_call (*make_role_call)(backend_role role, const daemon_id& issuer, fencing_number number,
                                  std::uint64_t accepted_orders) = nullptr;
    void (*set_target)(field_map& head, const backend_id& target) = nullptr;
    result<std::string> (*parse_hold)(std::string_view body) = nullptr;
    result<prefill_result> (*parse_prefill)(std::string_view body) = nullptr;
    std::string (*make_kv_source)(const http::endpoint& engine,
                                  const std::string& handle) = nullptr;
};

} // namespace cicadahatch::forwarding
