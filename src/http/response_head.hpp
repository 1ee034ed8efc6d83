#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

namespace cicadahatch::http {

/// \brief Parses received bytes as the head of a response and removes them from the buffer.
///
/// A field line that begins with whitespace is an error, as a name must not (RFC 9112, 5.1). The
/// parser would append it to the line before (obsolete line folding, RFC 9112, 5.2), and so drop a
/// field that frames the body.
/// \returns success once the head is complete, error::need_more until then, or the parser's error
[[nodiscard]] boost::system::error_code
parse_response_head(boost::beast::http::basic_parser<false>& parser,
                    boost::beast::flat_buffer& received);

} // namespace cicadahatch::http
