#include "src/http/response_stream.hpp"

#include "src/http/error.hpp"

#include <algorithm>
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
        char next = '\0';
        if (connection_.read_some(&next, 1).value_or(0) == 0) {
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

result<std::size_t> response_stream::read_more(std::size_t count) {
    const std::size_t before = pending_.size();
    pending_.resize(before + count);
    const auto received = connection_.read_some(pending_.data() + before, count);
    pending_.resize(before + received.value_or(0));
    const auto added = pending_.begin() + static_cast<std::ptrdiff_t>(before);
    pending_.erase(std::remove(added, pending_.end(), '\r'), pending_.end());
    return received;
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
        const auto received = read_more(surely_to_come(pending_));
        if (!received) {
            return tl::unexpected(received.error());
        }
        if (*received > 0) {
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
    return connection_.read_rest(max_bytes);
}

} // namespace cicadahatch::http
