#include "src/gateway/listener.hpp"

#include "src/http/error.hpp"

namespace cicadahatch::gateway {

namespace {

using namespace std::chrono_literals;
namespace asio = forwarding::asio;
namespace beast_http = forwarding::beast_http;
using forwarding::capture_error;
using forwarding::net_error;
using forwarding::tcp;

/// After a failure to accept, such as for want of descriptors, until some may be free.
constexpr std::chrono::milliseconds accept_pause = 20ms;

/// Connections that wait to be accepted: bursts of new callers arrive within a few turns.
constexpr int backlog = 1024;

} // namespace

listener::listener(asio::io_context& loop, handler accepted)
    : acceptor_(loop), pause_(loop), accepted_(std::move(accepted)) {}

result<void> listener::open(const http::endpoint& place) {
    net_error error;
    const auto address = asio::ip::make_address(place.host, error);
    if (error) {
        return failure(http::errc::bad_endpoint);
    }
    const tcp::endpoint at{address, place.port};
    acceptor_.open(at.protocol(), error);
    if (!error) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(at, error);
    }
    if (!error) {
        acceptor_.listen(backlog, error);
    }
    if (error) {
        return failure(http::errc::server_not_started);
    }
    accept();
    return {};
}

void listener::close() {
    net_error ignored; // The listener is given up in any case.
    acceptor_.close(ignored);
}

void listener::accept() {
    acceptor_.async_accept([this](const net_error& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (!error) {
            accepted_(std::move(socket));
            accept();
            return;
        }
        pause_.expires_after(accept_pause);
        pause_.async_wait([this](const net_error& ended) {
            if (!ended) {
                accept();
            }
        });
    });
}

asio::awaitable<void> serve_pages(tcp::socket socket, page_handler pages) {
    boost::beast::flat_buffer buffer;
    bool goes_on = true;
    while (goes_on) {
        beast_http::request<beast_http::empty_body> asked;
        net_error error;
        co_await beast_http::async_read(socket, buffer, asked, capture_error(error));
        if (error) {
            co_return;
        }
        const auto target = asked.target();
        const page made = pages({target.data(), target.size()});
        beast_http::response<beast_http::string_body> answer;
        answer.version(asked.version());
        answer.result(made.status);
        answer.set(beast_http::field::content_type, made.content_type);
        answer.body() = made.body;
        answer.keep_alive(asked.keep_alive());
        answer.prepare_payload();
        co_await beast_http::async_write(socket, answer, capture_error(error));
        goes_on = !error && answer.keep_alive();
    }
}

} // namespace cicadahatch::gateway
