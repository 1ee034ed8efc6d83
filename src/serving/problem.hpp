#pragma once

#include "src/core/identifiers.hpp"
#include "src/http/message.hpp"
#include "src/metrics/request_observation.hpp"
#include "src/serving/error.hpp"

#include <chrono>
#include <string>

namespace cicadahatch::serving {

/// \brief A refusal or failure as the caller gets it (RFC 9457, with the member `execution`).
struct problem {
    errc code = errc::backend_failed;
    execution ran = execution::not_run;
    std::chrono::milliseconds retry_after{0}; ///< zero: trying again does not help
    std::string field;                        ///< the faulty field or header; may be empty
};

/// \returns the HTTP status that goes with the problem's code
[[nodiscard]] int status_of(const problem& refusal);

/// \returns how a request that was answered with the problem counts for its objective
[[nodiscard]] metrics::request_outcome outcome_of(const problem& refusal);

/// \returns the problem as a JSON document
[[nodiscard]] std::string to_json(const problem& refusal, const request_id& request);

/// \returns the whole response, with Retry-After in seconds where trying again helps
[[nodiscard]] http::response to_response(const problem& refusal, const request_id& request);

} // namespace cicadahatch::serving
