#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace cicadahatch::claims {

/// \brief Names one attempt to run a request; unique over all daemons and times.
using claim_attempt = name_id<struct claim_attempt_tag>;

/// \brief Digest of what a caller asked for, to tell a repeat from another request.
using request_digest = number_id<struct request_digest_tag, std::uint64_t>;

/// \returns the digest of a request: method, path and body
[[nodiscard]] request_digest digest_of(std::string_view method, std::string_view path,
                                       std::string_view body);

/// \brief What is known of a claimed request.
enum class claim_state : std::uint8_t {
    claimed,   ///< its attempt may have been sent to a backend server
    abandoned, ///< its attempt gave up before anything was sent; another may replace it
    completed  ///< the outcome is recorded
};

/// \brief The answer that the request got.
struct claim_outcome {
    int status = 0;
    std::string content_type;
    std::string body; ///< empty if it is not kept
    std::uint64_t body_bytes = 0;
    std::uint64_t body_digest = 0;
    bool is_body_kept = true;

    friend bool operator==(const claim_outcome&, const claim_outcome&) = default;
};

/// \returns the outcome as it is recorded: a body over the bound is replaced by its digest
[[nodiscard]] claim_outcome make_outcome(int status, std::string content_type, std::string body);

/// \brief One claim, as stored.
struct claim {
    idempotency_key key;
    request_digest digest;
    claim_attempt attempt;
    daemon_id owner;
    claim_state state = claim_state::claimed;
    wall_time claimed_at;
    wall_time answer_by;  ///< until then a repeat is told "in progress"
    wall_time kept_until; ///< not dropped before then
    claim_outcome outcome;

    friend bool operator==(const claim&, const claim&) = default;
};

/// \brief A request for which a claim is wanted.
struct claim_request {
    service_id service;
    idempotency_key key;
    request_digest digest;
    time_point deadline;          ///< nothing is sent after it
    std::chrono::seconds kept{0}; ///< the service's rule
};

/// The claim stands for another attempt that may be running.
struct in_progress {};

/// The request ran; this is what it answered.
struct completed {
    claim_outcome outcome;
};

/// Another attempt may have run, and its outcome is not recorded.
struct unknown_outcome {};

/// The key was used for another request. This one has not run.
struct key_reused {};

/// The key is older than the kept time, or was used longer ago: it does not run (again), and what
/// came of the first use is no longer known.
struct key_expired {};

} // namespace cicadahatch::claims
