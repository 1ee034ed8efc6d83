#include "src/engines/decode_stream.hpp"

#include "src/engines/constants.hpp"
#include "src/engines/error.hpp"
#include "src/engines/frame.hpp"
#include "src/engines/internal/event_size_bound.hpp"
#include "src/engines/internal/requests.hpp"
#include "src/engines/internal/responses.hpp"

#include <optional>

namespace cicadahatch::engines {

namespace {

constexpr std::string_view data_field = "data: ";

/// \returns the value of the event's first data field, or nothing
std::optional<std::string_view> find_data(std::string_view event) {
    while (event.rfind(data_field, 0) != 0) {
        const std::size_t end = event.find('\n');
        if (end == std::string_view::npos) {
            return std::nullopt;
        }
        event.remove_prefix(end + 1);
    }
    return event.substr(data_field.size(), event.find('\n') - data_field.size());
}

} // namespace

result<decode_stream> decode_stream::open(const http::endpoint& endpoint,
                                          const decode_request& request,
                                          std::chrono::milliseconds timeout) {
    auto stream = http::response_stream::open(endpoint, internal::to_http(request), timeout);
    if (!stream) {
        return tl::unexpected(internal::to_engine_error(stream.error()));
    }
    if (stream->head().status != http::status_ok) {
        http::response refusal = stream->head();
        refusal.body = stream->read_rest().value_or("");
        return tl::unexpected(internal::to_engine_error(refusal));
    }
    return decode_stream{std::move(*stream)};
}

result<frame> decode_stream::next() {
    while (true) {
        const auto event = stream_.read_event(max_frame_bytes, internal::min_remaining_bytes);
        if (!event) {
            return failure(errc::stream_broken);
        }
        if (const auto data = find_data(*event)) {
            return parse_frame(*data);
        }
    }
}

} // namespace cicadahatch::engines
