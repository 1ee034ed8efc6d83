#include "src/http/response_stream.hpp"

#include "src/http/error.hpp"
#include "src/http/internal/body.hpp"

#include <algorithm>
#include <civetweb.h>
#include <utility>

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

bool response_stream::read_more(std::size_t count) {
    const std::size_t before = pending_.size();
    pending_.resize(before + count);
    const int got = mg_read(connection_.native(), pending_.data() + before, count);
    pending_.resize(before + static_cast<std::size_t>(std::max(got, 0)));
    const auto added = pending_.begin() + static_cast<std::ptrdiff_t>(before);
    pending_.erase(std::remove(added, pending_.end(), '\r'), pending_.end());
    return got > 0;
}

result<std::string> response_stream::read_event(std::size_t max_bytes,
                                                std::size_t (*surely_to_come)(std::string_view)) {
    constexpr std::string_view event_end = "\n\n";
    while (pending_.size() <= max_bytes) {
        const std::size_t end = pending_.find(event_end);
        if (end != std::string::npos) {
            std::string event = pending_.substr(0, end);
            pending_.erase(0, end + event_end.size());
            return event;
        }
        if (read_more(surely_to_come(pending_))) {
            continue;
        }
        const bool is_whole_line = !pending_.empty() && pending_.back() == '\n';
        if (!is_whole_line) {
            return failure(errc::response_broken);
        }
        return std::exchange(pending_, {});
    }
    return failure(errc::header_too_large);
}

result<std::string> response_stream::read_rest() {
    constexpr std::size_t max_bytes = 1024UL * 1024;
    const long long announced = mg_get_response_info(connection_.native())->content_length;
    return internal::read_body(connection_.native(), announced, max_bytes);
}

} // namespace cicadahatch::http
