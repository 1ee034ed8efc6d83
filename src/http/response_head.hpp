#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

namespace cicadahatch::http {

namespace internal {

[[nodiscard]] boost::system::error_code
parse_field_lines(boost::beast::http::basic_parser<false>& parser,
                  boost::beast::flat_buffer& received);

[[nodiscard]] boost::system::error_code
check_response_head(const boost::beast::http::response_header<>& head);

} // namespace internal

/// \brief Parses received bytes as the head of a response and removes them from the buffer.
///
/// The following are errors in addition to those that the parser finds:
/// - A field line that begins with whitespace, as a name must not (RFC 9112, 5.1). The parser would
///   append it to the line before (obsolete line folding, RFC 9112, 5.2), and so drop a field that
///   frames the body.
/// - A status outside 100 to 599 (RFC 9110, 15).
/// - A transfer coding other than chunked: the body could not be decoded.
/// \returns success once the head is complete, error::need_more until then, or another error of
/// Beast's HTTP category
template <class Body>
[[nodiscard]] boost::system::error_code
parse_response_head(boost::beast::http::response_parser<Body>& parser,
                    boost::beast::flat_buffer& received) {
    const boost::system::error_code error = internal::parse_field_lines(parser, received);
    return error ? error : internal::check_response_head(parser.get());
}

} // namespace cicadahatch::http
