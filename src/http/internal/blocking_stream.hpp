#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/system_error.hpp>
#include <chrono>
#include <poll.h>

namespace cicadahatch::http::internal {

/// \brief TCP connection whose blocking operations fail with boost::beast::error::timeout at a
/// deadline. A synchronous stream in the sense of Boost.Asio and Beast.
class blocking_stream {
public:
    using executor_type = boost::asio::ip::tcp::socket::executor_type;
    using lowest_layer_type = boost::asio::ip::tcp::socket;
    using deadline_type = std::chrono::steady_clock::time_point;
    using error_code = boost::system::error_code;

    /// Creates a closed connection.
    blocking_stream();

    void connect(const boost::asio::ip::tcp::endpoint& remote, error_code& error);

    /// \brief Sets the deadline of the operations that follow.
    void expires_at(deadline_type deadline) noexcept { deadline_ = deadline; }

    template <class Buffers>
    std::size_t read_some(const Buffers& buffers, error_code& error) {
        return repeat(POLLIN, error, [&] { return socket_.read_some(buffers, error); });
    }
    template <class Buffers>
    std::size_t read_some(const Buffers& buffers) {
        error_code error;
        const std::size_t bytes = read_some(buffers, error);
        throw_if(error);
        return bytes;
    }
    template <class Buffers>
    std::size_t write_some(const Buffers& buffers, error_code& error) {
        return repeat(POLLOUT, error, [&] { return socket_.write_some(buffers, error); });
    }
    template <class Buffers>
    std::size_t write_some(const Buffers& buffers) {
        error_code error;
        const std::size_t bytes = write_some(buffers, error);
        throw_if(error);
        return bytes;
    }

    [[nodiscard]] executor_type get_executor() { return socket_.get_executor(); }
    [[nodiscard]] lowest_layer_type& lowest_layer() noexcept { return socket_; }

private:
    /// \brief Waits until the connection is ready for poll() events.
    /// \returns whether it is; otherwise error is set
    [[nodiscard]] bool wait(short events, error_code& error);

    /// Repeats an operation until it no longer would block.
    template <class Operation>
    std::size_t repeat(short events, error_code& error, Operation operation) {
        std::size_t bytes = operation();
        while (error == boost::asio::error::would_block && wait(events, error)) {
            bytes = operation();
        }
        return bytes;
    }
    static void throw_if(const error_code& error) {
        if (error) {
            throw boost::system::system_error{error};
        }
    }

    boost::asio::ip::tcp::socket socket_;
    deadline_type deadline_;
};

} // namespace cicadahatch::http::internal
