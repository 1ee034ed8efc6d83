#pragma once

#include "src/forwarding/asio.hpp"

namespace cicadahatch::forwarding {

/// \brief Removes hop-by-hop fields (RFC 9110, 7.6.1), including those listed in the Connection
/// field, and the fields that frame the body.
void remove_connection_fields(field_map& head);

/// \brief Faults of a request head that the parser does not detect.
enum class head_fault : std::uint8_t {
    none,
    host,    ///< not exactly one Host field
    framing, ///< the end of the body is ambiguous
    target   ///< not a path
};

[[nodiscard]] head_fault check_head(const beast_http::request_header<>& head);

} // namespace cicadahatch::forwarding
