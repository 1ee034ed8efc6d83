#pragma once

#include "src/core/result.hpp"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace cicadahatch::http {

/// \brief Where a server listens.
struct endpoint {
    std::string host; ///< numeric IP address
    std::uint16_t port = 0;

    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// \param text "host:port" with a numeric IPv4 address, or "[address]:port" for IPv6
/// \returns the endpoint, or errc::bad_endpoint
[[nodiscard]] result<endpoint> parse_endpoint(std::string_view text);

/// \returns "host:port", bracketed for IPv6
[[nodiscard]] std::string to_string(const endpoint& place);

} // namespace cicadahatch::http
