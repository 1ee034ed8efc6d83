#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"

#include <cstdint>

namespace cicadahatch::metrics {

/// Typed code of a refusal, as told to the caller.
using refusal_reason = name_id<struct refusal_reason_tag>;

/// \brief How a request ended.
enum class request_outcome : std::uint8_t {
    completed, ///< answered whole
    refused,   ///< refused; reason says why
    failed,    ///< began and could not be completed
    canceled,  ///< the caller left; counts for no objective
    rejected   ///< the caller's own doing; counts for no objective; reason says why
};

/// \returns whether a request that ended so counts for its service's objective
[[nodiscard]] constexpr bool counts_for_objective(request_outcome ended) noexcept {
    return ended != request_outcome::canceled && ended != request_outcome::rejected;
}

/// \brief One request, recorded when it has ended.
struct request_observation {
    service_id service;
    team_id team;
    rank work_rank = rank::deferrable;
    request_outcome outcome = request_outcome::completed;
    refusal_reason reason;      ///< refused and rejected requests only
    duration first_token{0};    ///< time to the first token; plain services: to the whole answer
    duration between_tokens{0}; ///< 95th percentile of the request's times between tokens, or its
                                ///< largest; zero for plain services and one-token answers
    duration first_token_target{0};          ///< zero: no target
    duration between_tokens_target{0};       ///< zero: no target
    std::uint64_t prefill_tokens = 0;        ///< prefill work done, thrown away or not
    std::uint64_t wasted_prefill_tokens = 0; ///< part of it thrown away before use
    std::uint64_t output_tokens = 0;
};

/// \returns whether the request was completed and met both its targets
[[nodiscard]] inline bool is_good(const request_observation& seen) noexcept {
    const auto meets = [](duration value, duration target) {
        return target == duration{0} || value <= target;
    };
    return seen.outcome == request_outcome::completed &&
           meets(seen.first_token, seen.first_token_target) &&
           meets(seen.between_tokens, seen.between_tokens_target);
}

} // namespace cicadahatch::metrics
