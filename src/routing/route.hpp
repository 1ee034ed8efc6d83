#pragma once

#include "src/core/identifiers.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::routing {

/// \brief Retry semantics of a route's requests.
enum class request_kind : std::uint8_t {
    idempotent,     ///< may be executed more than once
    non_idempotent, ///< executed at most once per attempt of the caller
    streaming       ///< answered by an event stream; executed at most once unless resumable
};

/// \brief A service that receives a share of a route's requests, in proportion to its weight.
struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;
};

/// \brief Requests matched by host and path prefix, and the policy applied to them. Objectives are
/// latency targets.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    std::chrono::milliseconds timeout{0};   ///< maximum time until the caller is answered
    std::chrono::milliseconds objective{0}; ///< to the answer or the first event
    std::chrono::milliseconds inter_event_objective{0}; ///< between two events of a stream
    std::uint32_t priority = 0;                         ///< 0 is the highest
    std::vector<weighted_service> services;             ///< at least one
    std::uint32_t max_attempts = 1; ///< backend servers to which a request may be sent
    bool is_resumable = false;      ///< a broken stream may be resumed on another engine
    bool is_public = false;         ///< requests need no key
};

/// \brief Properties shared by all engines of a model service.
struct engine_traits {
    std::uint32_t slots = 0;              ///< concurrent requests
    std::uint32_t kv_tokens = 0;          ///< KV cache capacity of an engine, in tokens
    std::uint32_t kv_bytes_per_token = 0; ///< size of a KV transfer, per token
    std::uint32_t tokens_per_event = 1;
    bool supports_kv_backup = false; ///< a running stream's KV cache can be copied as it grows
    std::chrono::milliseconds kv_handle_lifetime{0}; ///< retention of a finished prefill's KV cache
    std::chrono::milliseconds role_change_duration{0}; ///< until an engine serves in its new role
    std::chrono::milliseconds max_reservation_lease{0};
};

/// \brief A set of interchangeable backend servers.
struct service {
    service_id id;
    std::uint32_t max_connections = 0;   ///< to one backend server, summed over all daemons
    std::optional<engine_traits> engine; ///< absent for plain services
};

/// \brief Limit on the work that a team may have done, summed over all daemons. A unit is a token
/// or a request.
struct usage_cap {
    double units_per_second = 0;    ///< zero: no limit
    double burst = 0;               ///< units beyond the rate
    bool counts_tokens = false;     ///< else requests are counted
    std::uint32_t plain_tokens = 0; ///< of a request that states no token counts

    friend bool operator==(const usage_cap&, const usage_cap&) = default;
};

/// \brief A team that owns callers.
struct team {
    team_id id;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< takes precedence over that of the route
    usage_cap cap;
};

/// \brief Limits on the requests that callers send.
struct input_limits {
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 4194304;
    std::chrono::milliseconds head_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// \brief One version of the routing configuration. Its parts take effect together.
struct configuration {
    std::uint64_t version = 0; ///< a higher version replaces a lower one
    std::vector<route> routes;
    std::vector<service> services;
    input_limits limits;
    std::optional<std::vector<team>> teams{}; ///< if present, requests need a team's key
};

} // namespace cicadahatch::routing
