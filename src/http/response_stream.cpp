#include "src/http/response_stream.hpp"

#include "src/http/error.hpp"
#include "src/http/internal/body.hpp"

#include <civetweb.h>

namespace cicadahatch::http {

result<response_stream> response_stream::open(const endpoint& place, const request& sent,
                                              std::chrono::milliseconds timeout) {
    auto connection = client_connection::open(place);
    if (!connection) {
        return tl::unexpected(connection.error());
    }
    auto head = connection->call_for_head(sent, timeout);
    if (!head) {
        return tl::unexpected(head.error());
    }
    return response_stream{std::move(*connection), std::move(*head)};
}

result<std::string> response_stream::read_line(std::size_t max_bytes) {
    std::string line;
    while (line.size() <= max_bytes) {
        // CivetWeb blocks until the whole of a larger read has come, which would hold tokens back.
        char next = '\0';
        if (mg_read(connection_.native(), &next, 1) != 1) {
            return failure(errc::response_broken);
        }
        if (next == '\n') {
            return line;
        }
        if (next != '\r') {
            line.push_back(next);
        }
    }
    return failure(errc::header_too_large);
}

result<std::string> response_stream::read_rest() {
    constexpr std::size_t max_bytes = 1024UL * 1024;
    const long long announced = mg_get_response_info(connection_.native())->content_length;
    return internal::read_body(connection_.native(), announced, max_bytes);
}

} // namespace cicadahatch::http
