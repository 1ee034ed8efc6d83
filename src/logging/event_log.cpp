#include "src/logging/event_log.hpp"

#include <array>
#include <cinttypes>
#include <climits>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

namespace cicadahatch::logging {

namespace {

using json = nlohmann::ordered_json;

json to_json(const log_field& field) {
    return std::visit([](const auto& value) { return json(value); }, field.value);
}

std::int64_t milliseconds_of(wall_time at) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

} // namespace

std::string format_hashes(const std::vector<std::uint64_t>& hashes) {
    std::string text;
    for (const std::uint64_t hash : hashes) {
        std::array<char, 17> digits{}; // NOLINT(readability-magic-numbers): 64 bits and the end
        std::snprintf(digits.data(), digits.size(), "%016" PRIx64, hash);
        text += text.empty() ? "" : ",";
        text += digits.data();
    }
    return text;
}

event_log::event_log(const clock& time, std::string daemon, log_limits limits, output out)
    : time_(time), daemon_(std::move(daemon)), limits_(limits),
      out_(std::move(out)), lines_{limits.lines_per_second, limits.burst_lines, limits.burst_lines,
                                   time.now()} {}

bool event_log::admit(weight matters) {
    const time_point now = time_.now();
    refill(lines_, now);
    const bool is_reserved = matters == weight::routine && lines_.tokens <= limits_.routine_reserve;
    return !is_reserved && try_take(lines_, now);
}

void event_log::write(weight matters, std::string_view event,
                      std::initializer_list<log_field> fields) {
    if (!admit(matters)) {
        ++dropped_;
        ++unreported_;
        return;
    }
    json line;
    line["t"] = milliseconds_of(time_.wall_now());
    line["daemon"] = daemon_;
    line["event"] = event;
    for (const log_field& field : fields) {
        line[std::string{field.name}] = to_json(field);
    }
    if (unreported_ > 0) {
        line["dropped"] = unreported_;
    }
    const std::string text = line.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    if (out_(text)) {
        ++written_;
        unreported_ = 0;
    } else {
        ++dropped_;
        ++unreported_;
    }
}

event_log::output output_to(int descriptor) {
    return [descriptor](std::string_view line) {
        // A pipe that polls as writable takes PIPE_BUF bytes at once, so a short line never blocks.
        pollfd waiting{descriptor, POLLOUT, 0};
        const bool is_writable = poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
        if (!is_writable || line.size() > PIPE_BUF) {
            return false;
        }
        return ::write(descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    };
}

} // namespace cicadahatch::logging
