#pragma once

#include "src/core/strong_id.hpp"

#include <cstdint>

namespace cicadahatch {

using service_id = name_id<struct service_tag>;
using model_id = name_id<struct model_tag>;
using team_id = name_id<struct team_tag>;
using domain_id = name_id<struct domain_tag>;
using daemon_id = name_id<struct daemon_tag>;
/// A backend server: a model engine or a plain service's server.
using backend_id = name_id<struct backend_tag>;
using cell_id = name_id<struct cell_tag>;
/// One caller's request, unique over all daemons.
using request_id = name_id<struct request_tag>;
using idempotency_key = name_id<struct idempotency_tag>;

/// Numbers the tries of one request at backend servers, from one.
using attempt_number = number_id<struct attempt_tag, std::uint32_t>;
/// Tells one start of a process from the next; grows with every start.
using incarnation = number_id<struct incarnation_tag, std::uint64_t>;
/// A store revision; it only grows, also if the store is restored: see store::make_revision().
using revision = number_id<struct revision_tag, std::uint64_t>;
/// Fencing number of an order; a backend server may refuse a smaller one than it has seen.
using fencing_number = number_id<struct fencing_tag, std::uint64_t>;

/// The two ranks of work.
enum class rank : std::uint8_t { urgent, deferrable };

/// What a caller may rely on when it is refused.
enum class execution : std::uint8_t { not_run, unknown, completed };

/// What a backend server does.
enum class backend_role : std::uint8_t { prefill, decode, plain };

} // namespace cicadahatch
