#include "src/forwarding/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace cicadahatch::forwarding {

namespace {

constexpr std::string_view id_field = "id:";

/// \returns the position after the blank line that ends the first event, or npos
std::size_t end_of_event(std::string_view bytes) {
    const std::size_t plain = bytes.find("\n\n");
    const std::size_t carriage = bytes.find("\n\r\n");
    const std::size_t plain_end = plain == std::string_view::npos ? plain : plain + 2;
    const std::size_t carriage_end = carriage == std::string_view::npos ? carriage : carriage + 3;
    return std::min(plain_end, carriage_end);
}

std::optional<std::uint64_t> parse_id(std::string_view event) {
    std::size_t pos = 0;
    while (pos < event.size()) {
        const std::size_t line_end = std::min(event.find('\n', pos), event.size());
        std::string_view line = event.substr(pos, line_end - pos);
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            std::uint64_t id = 0;
            const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
            if (parsed.ec == std::errc{}) {
                return id;
            }
        }
        pos = line_end + 1;
    }
    return std::nullopt;
}

} // namespace

bool event_splitter::accept(std::string_view event) {
    const auto id = parse_id(event);
    if (!id) {
        return true;
    }
    if (last_event_id_ && *id <= *last_event_id_) {
        return false;
    }
    last_event_id_ = id;
    return true;
}

std::string event_splitter::append(std::string_view bytes) {
    partial_.append(bytes);
    std::string complete;
    std::string_view remaining = partial_;
    for (std::size_t end = end_of_event(remaining); end != std::string_view::npos;
         end = end_of_event(remaining)) {
        const std::string_view event = remaining.substr(0, end);
        if (accept(event)) {
            complete.append(event);
            ++event_count_;
        }
        remaining.remove_prefix(end);
    }
    partial_.erase(0, partial_.size() - remaining.size());
    return complete;
}

} // namespace cicadahatch::forwarding
