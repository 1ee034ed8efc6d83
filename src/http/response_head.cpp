#include "src/http/response_head.hpp"

#include <string_view>

namespace cicadahatch::http::internal {

namespace beast_http = boost::beast::http;

namespace {

/// \param parsed whole lines of a head
bool has_folded_line(std::string_view parsed) {
    return parsed.find("\n ") != std::string_view::npos ||
           parsed.find("\n\t") != std::string_view::npos;
}

constexpr bool is_valid_status(unsigned status) noexcept {
    constexpr unsigned first_status = 100;
    constexpr unsigned last_status = 599;
    return status >= first_status && status <= last_status;
}

bool has_unknown_transfer_coding(const beast_http::response_header<>& head) {
    const std::size_t lines = head.count(beast_http::field::transfer_encoding);
    return lines > 1 || (lines == 1 && !boost::beast::iequals(
                                           head[beast_http::field::transfer_encoding], "chunked"));
}

} // namespace

boost::system::error_code parse_field_lines(beast_http::basic_parser<false>& parser,
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

boost::system::error_code check_response_head(const beast_http::response_header<>& head) {
    if (!is_valid_status(head.result_int())) {
        return beast_http::make_error_code(beast_http::error::bad_status);
    }
    if (has_unknown_transfer_coding(head)) {
        return beast_http::make_error_code(beast_http::error::bad_transfer_encoding);
    }
    return {};
}

} // namespace cicadahatch::http::internal
