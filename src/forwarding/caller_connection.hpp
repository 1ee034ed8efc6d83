#pragma once

#include "src/forwarding/gateway_state.hpp"
#include "src/forwarding/request_context.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cicadahatch::forwarding {

using caller_answer = beast_http::response<beast_http::string_body>;

/// \brief A caller's connection: reads one request after the other and writes their answers.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(gateway_state& state, tcp::socket socket);

    /// \brief Serves the connection until it ends.
    [[nodiscard]] asio::awaitable<void> serve();

    /// \brief Sends a whole answer.
    /// \returns whether all of it was handed to the system
    [[nodiscard]] asio::awaitable<bool> send(caller_answer answer);

    /// \brief Sends the head of an answer that is streamed.
    [[nodiscard]] asio::awaitable<bool> begin_stream(unsigned status, const field_map& head);
    [[nodiscard]] asio::awaitable<bool> send_part(std::string part);
    [[nodiscard]] asio::awaitable<bool> end_stream();

    /// \brief Closes the connection so that a started answer can't look complete.
    void abort();

    /// \brief Closes the connection if no request is in progress.
    void close_if_idle();
    [[nodiscard]] bool is_idle() const noexcept { return is_idle_; }
    /// \returns whether the present request has got a whole answer
    [[nodiscard]] bool is_answered() const noexcept { return is_answered_; }

private:
    using request_parser = beast_http::request_parser<beast_http::string_body>;

    [[nodiscard]] asio::awaitable<bool> wait_for_request();
    [[nodiscard]] asio::awaitable<bool> serve_request();
    [[nodiscard]] asio::awaitable<bool> read_request(request_parser& parser,
                                                     std::optional<backend_request>& message);
    [[nodiscard]] asio::awaitable<void> reject(const net_error& error);
    [[nodiscard]] asio::awaitable<void> run(request_context_ptr request);
    [[nodiscard]] asio::awaitable<void> close_gracefully();
    void watch(const request_context_ptr& request);
    void on_readable(const request_context_ptr& request);
    [[nodiscard]] routing::input_limits limits() const;
    void start_guard(std::chrono::milliseconds time);
    void stop_guard();

    gateway_state& state_;
    tcp::socket socket_;
    asio::steady_timer guard_;
    boost::beast::flat_buffer buffer_;
    bool is_keeping_alive_ = true;
    bool has_expired_ = false;
    bool is_idle_ = true;
    bool is_aborted_ = false;
    bool is_answered_ = false;
    bool is_chunked_ = true;
    bool is_head_request_ = false;
    unsigned version_ = 11;
    std::uint64_t watched_ = 0; ///< counts the requests whose caller is watched
};

using caller_ptr = std::shared_ptr<caller_connection>;

} // namespace cicadahatch::forwarding
