#include "src/http/internal/body.hpp"

#include "src/http/error.hpp"

#include <array>
#include <civetweb.h>

namespace cicadahatch::http::internal {

namespace {

constexpr std::size_t read_bytes = 16UL * 1024;

using lateness = std::function<bool()>;

result<std::string> read_announced(mg_connection* connection, std::size_t length,
                                   const lateness& is_late) {
    std::string body(length, '\0');
    std::size_t filled = 0;
    while (filled < length) {
        // A read that was interrupted gives what it has.
        if (filled > 0 && is_late()) {
            return failure(errc::body_late);
        }
        const int got = mg_read(connection, body.data() + filled, length - filled);
        if (got <= 0) {
            return failure(is_late() ? errc::body_late : errc::body_truncated);
        }
        filled += static_cast<std::size_t>(got);
    }
    return body;
}

result<std::string> read_to_end(mg_connection* connection, std::size_t max_bytes,
                                const lateness& is_late) {
    std::string body;
    std::array<char, read_bytes> buffer{};
    while (true) {
        const int got = mg_read(connection, buffer.data(), buffer.size());
        if (got < 0 || is_late()) {
            return failure(is_late() ? errc::body_late : errc::body_truncated);
        }
        if (got == 0) {
            return body;
        }
        body.append(buffer.data(), static_cast<std::size_t>(got));
        if (body.size() > max_bytes) {
            return failure(errc::body_too_large);
        }
    }
}

} // namespace

result<std::string> read_body(mg_connection* connection, long long announced, std::size_t max_bytes,
                              const std::function<bool()>& is_late) {
    if (announced < 0) {
        return read_to_end(connection, max_bytes, is_late);
    }
    const auto length = static_cast<std::size_t>(announced);
    if (length > max_bytes) {
        return failure(errc::body_too_large);
    }
    return read_announced(connection, length, is_late);
}

} // namespace cicadahatch::http::internal
