#pragma once

#include "src/http/client.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace cicadahatch::http {

/// \brief A response whose body is read line by line as it arrives.
class response_stream {
public:
    /// \brief Sends a request and waits for the head of the response.
    /// \param timeout longest wait for the head
    [[nodiscard]] static result<response_stream> open(const endpoint& place, const request& sent,
                                                      std::chrono::milliseconds timeout);

    /// \returns status and headers
    [[nodiscard]] const response& head() const noexcept { return head_; }

    /// \brief Waits for the next line.
    /// \param max_bytes longest accepted line
    /// \returns the line without its end, errc::response_broken at the end of the body or after
    /// max_body_silence, or errc::header_too_large
    [[nodiscard]] result<std::string> read_line(std::size_t max_bytes);

    /// \brief Waits for the next server-sent event.
    /// \param max_bytes longest accepted event
    /// \param surely_to_come called with the part that has come; a lower bound, at least one, of
    /// the bytes still missing
    /// \returns the event's lines without carriage returns, errc::response_broken at the end of the
    /// body, or errc::header_too_large
    [[nodiscard]] result<std::string> read_event(std::size_t max_bytes,
                                                 std::size_t (*surely_to_come)(std::string_view));

    /// \returns the rest of the body
    [[nodiscard]] result<std::string> read_rest();

private:
    response_stream(client_connection connection, response head)
        : connection_(std::move(connection)), head_(std::move(head)) {}

    /// \returns the number of bytes read, zero at the end of the body
    [[nodiscard]] result<std::size_t> read_more(std::size_t count);

    client_connection connection_;
    response head_;
    std::string pending_; ///< read, but not yet returned
};

} // namespace cicadahatch::http
