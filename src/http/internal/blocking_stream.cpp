#include "src/http/internal/blocking_stream.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/error.hpp>
#include <cerrno>
#include <limits>
#include <sys/socket.h>

namespace cicadahatch::http::internal {

namespace asio = boost::asio;

namespace {

/// Sockets need a context; one that never runs serves all blocking ones. It is never destroyed, as
/// detached threads may still use their sockets when the process exits.
asio::io_context& blocking_context() {
    static auto* const context = new asio::io_context; // NOLINT(cppcoreguidelines-owning-memory)
    return *context;
}

boost::system::error_code last_error() {
    return {errno, boost::system::system_category()};
}

/// \returns the outcome of a connect that has ended
boost::system::error_code connect_outcome(int descriptor) {
    int outcome = 0;
    socklen_t size = sizeof outcome;
    if (::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &outcome, &size) != 0) {
        return last_error();
    }
    return {outcome, boost::system::system_category()};
}

} // namespace

blocking_stream::blocking_stream() : socket_(blocking_context()) {}

void blocking_stream::connect(const asio::ip::tcp::endpoint& remote, error_code& error) {
    socket_.open(remote.protocol(), error);
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return;
    }
    // The socket's own connect() waits without a limit.
    const auto address_bytes = static_cast<socklen_t>(remote.size());
    if (::connect(socket_.native_handle(), remote.data(), address_bytes) == 0) {
        return;
    }
    if (errno != EINPROGRESS) {
        error = last_error();
    } else if (wait(POLLOUT, error)) {
        error = connect_outcome(socket_.native_handle());
    }
}

bool blocking_stream::wait(short events, error_code& error) {
    while (true) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            deadline_ - std::chrono::steady_clock::now());
        const auto timeout = std::clamp<std::chrono::milliseconds::rep>(
            left.count(), 0, std::numeric_limits<int>::max());
        pollfd waiting{socket_.native_handle(), events, 0};
        const int ready = ::poll(&waiting, 1, static_cast<int>(timeout));
        if (ready > 0) {
            error = {};
            return true;
        }
        if (ready == 0) {
            error = boost::beast::error::timeout;
            return false;
        }
        if (errno != EINTR) {
            error = last_error();
            return false;
        }
    }
}

} // namespace cicadahatch::http::internal
