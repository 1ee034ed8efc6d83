#include "test/support/raw_server.hpp"

#include "src/forwarding/asio.hpp"
#include "test/support/reserved_port.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <thread>

namespace cicadahatch::test_support {

namespace {

namespace asio = forwarding::asio;
using forwarding::capture_error;
using forwarding::net_error;
using forwarding::tcp;
using namespace std::chrono_literals;

constexpr int receive_buffer_bytes = 8192;

asio::awaitable<void> wait_for(tcp::socket& socket, std::chrono::milliseconds time) {
    asio::steady_timer pause{socket.get_executor(), time};
    net_error ignored;
    co_await pause.async_wait(capture_error(ignored));
}

/// \returns whether the connection stays open
asio::awaitable<bool> end_connection(tcp::socket& socket, raw_answer::ending end) {
    net_error ignored;
    switch (end) {
    case raw_answer::ending::keep:
        co_return true;
    case raw_answer::ending::close:
        break;
    case raw_answer::ending::finish_then_reset:
        socket.shutdown(tcp::socket::shutdown_send, ignored);
        co_await wait_for(socket, 100ms);
        [[fallthrough]];
    case raw_answer::ending::reset:
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        break;
    }
    socket.close(ignored);
    co_return false;
}

asio::awaitable<void> serve(tcp::socket socket, const raw_server::handler& answer) {
    std::string received;
    net_error error;
    bool is_open = true;
    while (is_open) {
        const std::size_t head_bytes = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(received), "\r\n\r\n", capture_error(error));
        if (error) {
            co_return;
        }
        const std::string head = received.substr(0, head_bytes);
        received.erase(0, head_bytes);
        const raw_answer made = answer(head);
        const std::string length = raw_field(head, "Content-Length");
        const std::size_t body_bytes = length.empty() ? 0 : std::stoul(length);
        if (!made.is_early) {
            if (received.size() < body_bytes) {
                co_await asio::async_read(socket, asio::dynamic_buffer(received),
                                          asio::transfer_exactly(body_bytes - received.size()),
                                          capture_error(error));
            }
            received.erase(0, body_bytes);
        }
        co_await wait_for(socket, made.delay);
        co_await asio::async_write(socket, asio::buffer(made.bytes), capture_error(error));
        co_await wait_for(socket, made.pause);
        co_await asio::async_write(socket, asio::buffer(made.late_bytes), capture_error(error));
        is_open = co_await end_connection(socket, made.end);
    }
}

} // namespace

struct raw_server::parts {
    explicit parts(handler made) : answer(std::move(made)) {
        const tcp::endpoint place{asio::ip::address_v4::loopback(), reserve_port()};
        acceptor.open(place.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        // Accepted sockets inherit the size.
        acceptor.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes));
        acceptor.bind(place);
        acceptor.listen();
        accept();
        thread = std::thread([this] { loop.run(); });
    }

    void accept() {
        acceptor.async_accept([this](const net_error& error, tcp::socket socket) {
            if (error) {
                return;
            }
            asio::co_spawn(loop, serve(std::move(socket), answer), asio::detached);
            accept();
        });
    }

    handler answer;
    asio::io_context loop{1};
    tcp::acceptor acceptor{loop};
    std::thread thread;
};

raw_server::raw_server(handler answer) : parts_(std::make_unique<parts>(std::move(answer))) {}

raw_server::~raw_server() {
    parts_->loop.stop();
    parts_->thread.join();
}

http::endpoint raw_server::place() const {
    return {"127.0.0.1", parts_->acceptor.local_endpoint().port()};
}

std::string join(std::initializer_list<std::string_view> parts) {
    std::string joined;
    for (const std::string_view part : parts) {
        joined.append(part);
    }
    return joined;
}

std::string raw_field(const std::string& head, const std::string& name) {
    const std::string begin_of_line = "\r\n" + name + ": ";
    const std::size_t at = head.find(begin_of_line);
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + begin_of_line.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace cicadahatch::test_support
