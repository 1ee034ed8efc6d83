#include "src/http/response_head.hpp"

#include <string_view>

namespace cicadahatch::http {

namespace beast_http = boost::beast::http;

namespace {

/// \param parsed whole lines of a head
bool has_folded_line(std::string_view parsed) {
    return parsed.find("\n ") != std::string_view::npos ||
           parsed.find("\n\t") != std::string_view::npos;
}

} // namespace

boost::system::error_code parse_response_head(beast_http::basic_parser<false>& parser,
                                              boost::beast::flat_buffer& received) {
    boost::system::error_code error;
    while (!error && !parser.is_header_done()) {
        if (received.size() == 0) {
            return beast_http::make_error_code(beast_http::error::need_more);
        }
        const auto bytes = received.cdata();
        const std::size_t used = parser.put(bytes, error);
        // The parser takes a line only with the first byte of the next one.
        if (has_folded_line({static_cast<const char*>(bytes.data()), used})) {
            return beast_http::make_error_code(beast_http::error::bad_field);
        }
        received.consume(used);
    }
    return error;
}

} // namespace cicadahatch::http
