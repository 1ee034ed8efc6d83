#include "src/engines/decode_stream.hpp"

#include "src/engines/constants.hpp"
#include "src/engines/error.hpp"
#include "src/engines/frame.hpp"
#include "src/engines/internal/answers.hpp"
#include "src/engines/internal/requests.hpp"

namespace cicadahatch::engines {

namespace {

constexpr std::string_view data_field = "data: ";

} // namespace

result<decode_stream> decode_stream::open(const http::endpoint& place, const decode_request& asked,
                                          std::chrono::milliseconds timeout) {
    auto stream = http::response_stream::open(place, internal::to_http(asked), timeout);
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
        const auto line = stream_.read_line(max_frame_bytes);
        if (!line) {
            return failure(errc::stream_broken);
        }
        if (line->rfind(data_field, 0) == 0) {
            return parse_frame(std::string_view{*line}.substr(data_field.size()));
        }
    }
}

} // namespace cicadahatch::engines
