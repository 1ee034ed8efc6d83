#pragma once

#include "src/core/result.hpp"
#include "src/engines/messages.hpp"
#include "src/http/response_stream.hpp"

#include <chrono>

namespace cicadahatch::engines {

/// \brief Reads a token stream from a decode engine. Not thread-safe.
class decode_stream {
public:
    /// \brief Sends a decode request and waits until the engine has imported the KV cache.
    /// \returns an open stream, or an error of engines::errc
    [[nodiscard]] static result<decode_stream> open(const http::endpoint& endpoint,
                                                    const decode_request& request,
                                                    std::chrono::milliseconds timeout);

    /// \brief Waits for the next frame.
    /// \returns the frame, errc::stream_broken or errc::malformed_frame
    [[nodiscard]] result<frame> next();

private:
    explicit decode_stream(http::response_stream stream) : stream_(std::move(stream)) {}

    http::response_stream stream_;
};

} // namespace cicadahatch::engines
