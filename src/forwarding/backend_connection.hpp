#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/forwarding/asio.hpp"
#include "src/http/constants.hpp"
#include "src/http/endpoint.hpp"

#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace cicadahatch::forwarding {

using backend_request = beast_http::request<beast_http::string_body>;

/// \brief HTTP/1.1 client connection to one backend server process; carries one exchange at a time.
///
/// The request is written while the response is read, since a server may respond before it has read
/// a long body. Every operation fails at the time set by set_deadline(). Errors are of
/// forwarding::errc.
class backend_connection : public std::enable_shared_from_this<backend_connection> {
public:
    backend_connection(asio::io_context& loop, backend_id id, incarnation started);

    [[nodiscard]] asio::awaitable<std::error_code> connect(http::endpoint endpoint);

    /// \returns whether the last connect() was refused: no process listens at the endpoint
    [[nodiscard]] bool was_refused() const noexcept { return was_refused_; }

    /// \brief Starts writing a request. The next response read belongs to it.
    void start_request(backend_request outgoing);

    /// \brief Reads the head of the final response. Interim responses are dropped.
    [[nodiscard]] asio::awaitable<std::error_code> read_head();

    /// \brief Waits for body bytes and appends them to output. The body is complete once
    /// is_response_complete() is true and no error is returned.
    [[nodiscard]] asio::awaitable<std::error_code> read_body(std::string& output);

    /// \brief Fails the exchange with errc::timed_out at the given time; a later call replaces it.
    void set_deadline(time_point at);
    void clear_deadline();

    /// \brief Fails the exchange with errc::timed_out now.
    void expire();

    /// \brief Fails the exchange with errc::connection_lost if the peer's VM does not confirm
    /// within two seconds that it still has the connection.
    void enable_keepalive();

    /// \brief Fails the exchange with errc::cancelled.
    void cancel();
    void close();

    [[nodiscard]] unsigned status() const { return parser_->get().result_int(); }
    [[nodiscard]] const field_map& head() const { return parser_->get(); }
    [[nodiscard]] bool is_response_complete() const { return parser_->is_done(); }
    [[nodiscard]] const backend_id& backend() const noexcept { return id_; }
    [[nodiscard]] incarnation started() const noexcept { return started_; }

    /// \returns whether the response has no length, so that it ends with the connection
    [[nodiscard]] bool ends_with_connection() const { return parser_->need_eof(); }
    /// \returns whether no other request was sent on this connection before the last one
    [[nodiscard]] bool is_first_exchange() const noexcept { return requests_ <= 1; }

    /// \returns whether another exchange may follow: the last one is complete, and the server keeps
    /// the connection open and has sent nothing after the response
    [[nodiscard]] bool is_reusable() const;

    /// \returns whether the idle connection is still open and has received nothing
    [[nodiscard]] bool is_idle_alive();

    /// \returns the idle timeout from the Keep-Alive field of the server, if present
    [[nodiscard]] std::optional<std::chrono::seconds> idle_timeout() const;

private:
    using parser = beast_http::response_parser<beast_http::buffer_body>;

    [[nodiscard]] std::error_code classify_error(const net_error& error) const;
    /// \brief Reads the head of the next response, which may be an interim one.
    [[nodiscard]] asio::awaitable<std::error_code> read_next_head();

    tcp::socket socket_;
    asio::steady_timer deadline_timer_;
    boost::beast::flat_buffer buffer_{http::max_unparsed_bytes};
    std::optional<parser> parser_;
    backend_id id_;
    incarnation started_;
    std::uint64_t requests_ = 0; ///< sent on this connection
    bool is_head_request_ = false;
    bool is_request_written_ = true;
    net_error write_error_; ///< of the last request
    bool has_expired_ = false;
    bool is_cancelled_ = false;
    bool is_broken_ = false;
    bool was_refused_ = false;
};

using connection_ptr = std::shared_ptr<backend_connection>;

} // namespace cicadahatch::forwarding
