#pragma once

#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/request_context.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cicadahatch::forwarding {

using caller_response = beast_http::response<beast_http::string_body>;

/// \brief HTTP/1.1 server connection of a caller; reads and answers one request after the other.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(gateway_state& state, tcp::socket socket);
    caller_connection(const caller_connection&) = delete;
    caller_connection& operator=(const caller_connection&) = delete;
    caller_connection(caller_connection&&) = delete;
    caller_connection& operator=(caller_connection&&) = delete;
    ~caller_connection() { end_reading(); }

    /// \brief Serves requests until the connection is closed.
    [[nodiscard]] asio::awaitable<void> serve();

    /// \brief Sends a complete response.
    /// \returns whether all of it was handed to the operating system
    [[nodiscard]] asio::awaitable<bool> send(caller_response response);

    /// \brief Sends the head of a streamed response.
    [[nodiscard]] asio::awaitable<bool> begin_stream(unsigned status, const field_map& head);
    [[nodiscard]] asio::awaitable<bool> send_chunk(std::string chunk);
    [[nodiscard]] asio::awaitable<bool> end_stream();

    /// \brief Closes the connection so that a partial response can't look complete.
    void abort();

    /// \brief Closes the connection unless a request is in progress or has begun to arrive.
    /// \returns whether the connection is closed
    bool close_if_idle();
    /// \brief Ends the current request if its response has not begun, so that it gets a final one
    /// from this daemon.
    void end_unanswered(request_end_reason reason);
    /// \returns whether a complete response to the current request has been sent
    [[nodiscard]] bool is_response_sent() const noexcept { return is_response_sent_; }

private:
    using request_parser = beast_http::request_parser<beast_http::string_body>;

    /// What read_until() reads.
    enum class read_goal : std::uint8_t { head, whole_request };

    [[nodiscard]] bool has_unread_bytes() const;
    void begin_reading();
    void end_reading();
    /// \brief Reserves memory for the next read, if necessary by evicting other callers.
    /// \returns whether there is room
    [[nodiscard]] bool reserve_for_read(request_parser& parser);
    [[nodiscard]] asio::awaitable<net_error> read_until(request_parser& parser, read_goal goal);
    /// \brief Frees what was read and answers with the reason.
    [[nodiscard]] asio::awaitable<void> discard_and_reject(request_parser& parser, net_error error);
    void release_buffer();
    [[nodiscard]] asio::awaitable<bool> wait_for_request();
    [[nodiscard]] asio::awaitable<bool> serve_request();
    [[nodiscard]] asio::awaitable<bool> read_request(request_parser& parser,
                                                     std::optional<backend_request>& message);
    [[nodiscard]] asio::awaitable<void> reject(const net_error& error);
    [[nodiscard]] asio::awaitable<void> run_request(request_context_ptr request);
    [[nodiscard]] asio::awaitable<void> close_gracefully();
    void watch_for_disconnect(const request_context_ptr& request);
    void on_readable(const request_context_ptr& request);
    [[nodiscard]] routing::input_limits limits() const;
    void start_timeout(std::chrono::milliseconds timeout);
    void stop_timeout();

    gateway_state& state_;
    tcp::socket socket_;
    asio::steady_timer timeout_timer_;
    boost::beast::flat_buffer buffer_;       ///< bounded before each request is read
    reading_id reading_;                     ///< the request that is being read
    std::weak_ptr<request_context> running_; ///< the request that is being forwarded
    bool is_evicted_ = false;                ///< its memory or connection was needed for others
    bool is_keep_alive_ = true;
    bool has_expired_ = false;
    bool is_idle_ = true;
    bool is_aborted_ = false;
    bool is_response_sent_ = false;
    bool is_chunked_ = true;
    bool is_head_request_ = false;
    unsigned version_ = 11;
    std::uint64_t watch_generation_ = 0; ///< number of requests whose disconnect watch has ended
};

using caller_ptr = std::shared_ptr<caller_connection>;

} // namespace cicadahatch::forwarding
