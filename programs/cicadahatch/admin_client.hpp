#pragma once

#include "programs/cicadahatch/options.hpp"
#include "src/core/result.hpp"
#include "src/http/client.hpp"
#include "src/http/endpoint.hpp"

#include <chrono>
#include <string>
#include <vector>

namespace cicadahatch::tool {

/// Longest wait for a daemon's answer.
inline constexpr std::chrono::milliseconds admin_timeout{5'000};

/// \brief The daemons that a command asks, and how.
struct admin_target {
    std::vector<http::endpoint> daemons;
    std::string token; ///< empty: none
    http::client_tls tls;
};

/// \brief One daemon's answer.
struct daemon_reply {
    http::endpoint daemon;
    result<std::string> body; ///< of a response with status 200
};

/// \returns the target named on the command line or in the environment, or errc::no_daemons,
/// errc::bad_endpoint or errc::unreadable_token
[[nodiscard]] result<admin_target> admin_target_of(const cxxopts::ParseResult& values);

/// \returns the endpoints, or errc::bad_endpoint
[[nodiscard]] result<std::vector<http::endpoint>> parse_endpoints(const argument_list& texts);

/// \brief Sends one request to every daemon, some at a time.
/// \returns an answer or error for each, in the order of the target
[[nodiscard]] std::vector<daemon_reply> ask_all(const admin_target& target,
                                                const http::request& sent);

/// \returns a GET of a resource below /admin/v1
[[nodiscard]] http::request read_request(const std::string& resource);

/// \returns a POST of an order below /admin/v1
[[nodiscard]] http::request order_request(const std::string& resource, const json& body);

/// \brief Prints the daemons that gave no answer.
/// \returns ok; unreachable if one was not reached; failed if one refused
exit_code report_failures(const terminal& to, const std::vector<daemon_reply>& replies);

} // namespace cicadahatch::tool
