#pragma once

#include "src/http/forward_declarations.hpp"
#include "src/http/message.hpp"

#include <string_view>

namespace cicadahatch::http {

/// \brief One request being answered on a server's worker thread.
///
/// Either respond() is called once, or begin_stream() once and write() any number of times.
/// Every writing function returns false when the caller's connection has gone.
class exchange {
public:
    exchange(mg_connection* connection, request received, bool is_http_1_1)
        : connection_(connection), request_(std::move(received)), is_http_1_1_(is_http_1_1) {}

    [[nodiscard]] const http::request& request() const noexcept { return request_; }
    [[nodiscard]] bool has_begun() const noexcept { return has_begun_; }
    /// \returns whether the caller's protocol version and preference allow interim responses
    [[nodiscard]] bool allows_interim() const;

    /// \brief Sends an interim "102 Processing", which shows whether the caller is still there.
    /// Has no effect for callers that allow none.
    /// \returns false if the caller has gone
    bool send_interim();

    /// \brief Sends a whole response.
    bool respond(const response& answer);

    /// \brief Sends the head of a response whose end is the end of the connection.
    bool begin_stream(int status, const header_list& headers);

    /// \brief Sends bytes of the body begun by begin_stream(), in one write.
    bool write(std::string_view bytes);

    /// \brief Ends the exchange without a response: the caller has gone, or must see a closed
    /// connection.
    void abandon();

private:
    bool send(std::string_view bytes);

    mg_connection* connection_;
    http::request request_;
    bool is_http_1_1_;
    bool has_begun_ = false;
};

} // namespace cicadahatch::http
