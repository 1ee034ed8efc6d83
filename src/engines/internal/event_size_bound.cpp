#include "src/engines/internal/event_size_bound.hpp"

#include <algorithm>

namespace cicadahatch::engines::internal {

namespace {

constexpr std::string_view shortest_event = "data: [DONE]\n\n";
constexpr std::string_view shortest_frame =
    "data: {\"attempt\":1,\"position\":0,\"text\":\"\"}\n\n";
constexpr std::string_view frame_start = "data: {";
constexpr std::string_view object_end = "}\n\n";
constexpr std::size_t event_end_bytes = 2;

bool is_prefix(std::string_view prefix, std::string_view text) {
    return text.substr(0, prefix.size()) == prefix;
}

std::size_t bytes_missing(std::string_view shortest, std::string_view line) {
    return shortest.size() - std::min(line.size(), shortest.size());
}

} // namespace

std::size_t min_remaining_bytes(std::string_view partial) {
    if (partial.empty()) {
        return shortest_event.size();
    }
    const std::size_t last_line_end = partial.rfind('\n');
    const std::string_view line =
        last_line_end == std::string_view::npos ? partial : partial.substr(last_line_end + 1);
    if (line.empty()) {
        return 1;
    }
    if (is_prefix(frame_start, line)) {
        const std::size_t min_tail = line.back() == '}' ? event_end_bytes : object_end.size();
        return std::max(bytes_missing(shortest_frame, line), min_tail);
    }
    if (is_prefix(line, shortest_event)) {
        return std::max(bytes_missing(shortest_event, line), event_end_bytes);
    }
    return event_end_bytes;
}

} // namespace cicadahatch::engines::internal
