#pragma once

#include "src/core/result.hpp"
#include "src/http/constants.hpp"
#include "src/http/endpoint.hpp"
#include "src/http/message.hpp"

#include <chrono>
#include <memory>

namespace cicadahatch::http {

/// \returns the header field that asks a server for no interim responses
[[nodiscard]] header no_interim();

/// \brief Files a client uses for TLS, in PEM.
struct client_tls {
    std::string certificate; ///< own certificate and key; may be empty
    std::string server_ca;   ///< authority of the server's certificate; empty: no TLS
};

/// \brief One kept connection to a server. Used by one thread at a time; its functions block.
///
/// Interim responses are dropped.
class client_connection {
public:
    client_connection(client_connection&&) noexcept;
    client_connection& operator=(client_connection&&) noexcept;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection();

    /// \returns an open connection, or errc::connect_failed
    [[nodiscard]] static result<client_connection> open(const endpoint& place,
                                                        const client_tls& tls = {});

    /// \brief Sends a request and reads the whole response.
    /// After a failure the connection must not be used again.
    /// \param timeout longest wait for the head of the response
    /// \param max_body_bytes a longer body is an error
    [[nodiscard]] result<response> call(const request& sent, std::chrono::milliseconds timeout,
                                        std::size_t max_body_bytes = max_response_bytes);

    /// \brief Sends a request and reads the head of the response; the body stays to be read.
    /// \returns errc::send_failed, errc::response_timeout or errc::response_broken on failure
    [[nodiscard]] result<response> call_for_head(const request& sent,
                                                 std::chrono::milliseconds timeout);

    /// \brief Waits for bytes of the body after call_for_head().
    /// \returns their number; zero at the end of the body; errc::response_broken if the response is
    /// broken off or the server is silent for max_body_silence
    [[nodiscard]] result<std::size_t> read_some(char* bytes, std::size_t size);

    /// \brief Reads the rest of the body.
    /// \returns errc::response_broken as read_some(), or for a longer body
    [[nodiscard]] result<std::string> read_rest(std::size_t max_bytes);

    /// \returns whether the server keeps the connection open after the last call
    [[nodiscard]] bool is_reusable() const;

    /// \returns whether the idle connection is still open and has received nothing
    [[nodiscard]] bool is_idle_alive() const;

private:
    struct connection;
    explicit client_connection(std::unique_ptr<connection> opened);

    std::unique_ptr<connection> connection_;
};

/// \brief Sends one request on a connection of its own.
/// \returns the whole response, or an error; see is_surely_unsent()
[[nodiscard]] result<response> call(const endpoint& place, const request& sent,
                                    std::chrono::milliseconds timeout);

} // namespace cicadahatch::http
