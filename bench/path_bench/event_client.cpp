#include "bench/path_bench/event_client.hpp"

#include "test/support/raw_caller.hpp"

#include <optional>
#include <string>

namespace path_bench {

namespace {

using std::chrono::steady_clock;

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view token_field = "\"text\":";
constexpr std::string_view end_mark = "data: [DONE]";

std::string render(const cicadahatch::http::request& sent) {
    std::string text = sent.method + " " + sent.path + " HTTP/1.1\r\nHost: bench\r\n";
    for (const auto& entry : sent.headers) {
        text += entry.name + ": " + entry.value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(sent.body.size()) + "\r\n\r\n" + sent.body;
}

void note_token(stream_times& seen, steady_clock::time_point now,
                std::optional<steady_clock::time_point>& last, steady_clock::time_point began) {
    if (last) {
        seen.gaps.push_back(now - *last);
    } else {
        seen.first_token = now - began;
    }
    last = now;
}

} // namespace

stream_times read_events(const cicadahatch::http::endpoint& place,
                         const cicadahatch::http::request& sent, steady_clock::time_point began) {
    stream_times seen;
    std::optional<steady_clock::time_point> last;
    std::string pending;
    const cicadahatch::test_support::raw_caller caller{place};
    if (!caller.send(render(sent))) {
        return seen;
    }
    while (!seen.is_whole) {
        const std::string bytes = caller.receive_some();
        const auto now = steady_clock::now();
        if (bytes.empty()) {
            break;
        }
        pending += bytes;
        for (auto end = pending.find(event_end); end != std::string::npos;
             end = pending.find(event_end)) {
            const std::string_view event = std::string_view{pending}.substr(0, end);
            if (event.find(token_field) != std::string_view::npos) {
                note_token(seen, now, last, began);
            }
            seen.is_whole = seen.is_whole || event.find(end_mark) != std::string_view::npos;
            pending.erase(0, end + event_end.size());
        }
    }
    return seen;
}

} // namespace path_bench
