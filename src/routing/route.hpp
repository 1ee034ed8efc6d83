#pragma once

#include "src/core/identifiers.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::routing {

/// \brief What may be repeated of a route's requests.
enum class request_kind : std::uint8_t {
    idempotent,     ///< may run more than once
    non_idempotent, ///< runs at most once for each of the caller's attempts
    streaming       ///< answered by events; runs at most once unless the route is resumable
};

/// \brief One of the services that share a route's requests.
struct weighted_service {
    service_id service;
    std::uint32_t weight = 1;
};

/// \brief A set of requests that are treated alike.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    std::chrono::milliseconds timeout{0};   ///< longest time for which a caller is kept waiting
    std::chrono::milliseconds objective{0}; ///< to the answer, or to a stream's first event
    std::chrono::milliseconds inter_event_objective{0}; ///< between two events of a stream
    std::uint32_t priority = 0;                         ///< 0 is the most urgent
    std::vector<weighted_service> services;             ///< at least one
    std::uint32_t max_attempts = 1; ///< backend servers that one request may be sent to
    bool is_resumable = false;      ///< a broken stream may go on at another engine
};

/// \brief What the engines of a model service have in common.
struct engine_traits {
    std::uint32_t slots = 0;              ///< requests that run at once
    std::uint32_t kv_tokens = 0;          ///< tokens that fit into an engine's memory
    std::uint32_t kv_bytes_per_token = 0; ///< carried by a transfer
    std::uint32_t tokens_per_event = 1;
    bool supports_kv_backup = false;                   ///< a run's memory can be copied as it grows
    std::chrono::milliseconds kv_handle_lifetime{0};   ///< how long a finished prefill is kept
    std::chrono::milliseconds role_change_duration{0}; ///< until an engine works in its new role
    std::chrono::milliseconds max_reservation_lease{0}; ///< of a reserved place
};

/// \brief A set of backend servers that run the same work.
struct service {
    service_id id;
    std::uint32_t max_connections = 0;   ///< to one backend server, from all daemons together
    std::optional<engine_traits> engine; ///< absent for plain services
};

/// \brief Bounds on what callers may send.
struct input_limits {
    std::size_t head_bytes = 16384;
    std::size_t body_bytes = 4194304;
    std::chrono::milliseconds head_timeout{3000};
    std::chrono::milliseconds idle_timeout{15000};
};

/// \brief Everything that is in force together.
struct configuration {
    std::uint64_t version = 0; ///< a higher one replaces a lower one
    std::vector<route> routes;
    std::vector<service> services;
    input_limits limits;
};

} // namespace cicadahatch::routing
