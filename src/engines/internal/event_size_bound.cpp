#include "src/engines/internal/event_size_bound.hpp"

#include <algorithm>

namespace cicadahatch::engines::internal {

namespace {

constexpr std::string_view shortest_event = "data: [DONE]\n\n";
constexpr std::string_view shortest_frame =
    "data: {\"attempt\":1,\"position\":0,\"text\":\"\"}\n\n";
constexpr std::string_view frame_start = "data: {";
constexpr std::string_view object_end = "}\n\n";
constexpr std::size_t line_and_event_end = 2;

bool is_prefix(std::string_view part, std::string_view whole) {
    return whole.substr(0, part.size()) == part;
}

std::size_t rest_of(std::string_view shortest, std::string_view line) {
    return shortest.size() - std::min(line.size(), shortest.size());
}

} // namespace

std::size_t min_remaining_bytes(std::string_view begun) {
    if (begun.empty()) {
        return shortest_event.size();
    }
    const std::size_t last_end = begun.rfind('\n');
    const std::string_view line =
        last_end == std::string_view::npos ? begun : begun.substr(last_end + 1);
    if (line.empty()) {
        return 1;
    }
    if (is_prefix(frame_start, line)) {
        const std::size_t tail = line.back() == '}' ? line_and_event_end : object_end.size();
        return std::max(rest_of(shortest_frame, line), tail);
    }
    if (is_prefix(line, shortest_event)) {
        return std::max(rest_of(shortest_event, line), line_and_event_end);
    }
    return line_and_event_end;
}

} // namespace cicadahatch::engines::internal
