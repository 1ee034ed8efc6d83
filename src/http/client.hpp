#pragma once

#include "src/core/result.hpp"
#include "src/http/constants.hpp"
#include "src/http/endpoint.hpp"
#include "src/http/forward_declarations.hpp"
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

/// \brief One kept connection to a server. Used by one thread at a time.
///
/// CivetWeb's client can't read past an interim response, so a caller that uses this class asks
/// the server for none with no_interim().
class client_connection {
public:
    client_connection(client_connection&&) = default;
    client_connection& operator=(client_connection&&) = default;
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection() = default;

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
    [[nodiscard]] result<response> call_for_head(const request& sent,
                                                 std::chrono::milliseconds timeout);

    /// \returns CivetWeb's connection, for reading the body after call_for_head()
    [[nodiscard]] mg_connection* native() const noexcept { return connection_.get(); }
    /// \returns whether the server keeps the connection open after the last call
    [[nodiscard]] bool is_reusable() const noexcept { return is_reusable_; }

private:
    struct closer {
        void operator()(mg_connection* connection) const noexcept;
    };
    client_connection() = default;

    std::unique_ptr<mg_connection, closer> connection_;
    std::string host_;
    bool is_reusable_ = true;
};

/// \brief Sends one request on a connection of its own.
/// \returns the whole response, or an error; see is_surely_unsent()
[[nodiscard]] result<response> call(const endpoint& place, const request& sent,
                                    std::chrono::milliseconds timeout);

} // namespace cicadahatch::http
