#pragma once

#include "src/core/clock.hpp"
#include "src/http/message.hpp"
#include "src/serving/backend_directory.hpp"
#include "src/serving/problem.hpp"

#include <chrono>
#include <functional>
#include <tl/expected.hpp>

namespace cicadahatch::serving {

/// \brief One call to a plain service.
struct plain_call {
    service_id service;
    http::request sent;           ///< as the backend server gets it
    bool may_be_repeated = false; ///< a call whose outcome is unknown may be sent again
    domain_id preferred;          ///< failure domain whose servers come first
    std::chrono::milliseconds timeout{0};
    std::function<bool()> may_send; ///< asked right before each sending
};

using plain_answer = tl::expected<http::response, problem>;

/// \brief Sends a call to the service's servers, one after the other, until one answers.
///
/// A server that surely did nothing is followed by the next. After a call whose outcome is unknown
/// the next is tried only if the call may be repeated; else the problem says `unknown`.
[[nodiscard]] plain_answer run_plain_call(backend_directory& directory, const plain_call& call);

/// \returns whether a method is idempotent by its definition (RFC 9110)
[[nodiscard]] bool is_idempotent(const std::string& method);

} // namespace cicadahatch::serving
