#include "src/gateway/listener.hpp"

#include "src/http/constants.hpp"
#include "src/http/error.hpp"

namespace cicadahatch::gateway {

namespace {

using namespace std::chrono_literals;
namespace asio = forwarding::asio;
namespace beast_http = forwarding::beast_http;
using forwarding::capture_error;
using forwarding::net_error;
using forwarding::tcp;

/// Delay after a failed accept, for example when no descriptors are free.
constexpr std::chrono::milliseconds accept_retry_delay = 20ms;

/// Backlog of connections not yet accepted. Bursts of new callers arrive within a few iterations of
/// the event loop.
constexpr int listen_backlog = 1024;

} // namespace

listener::listener(asio::io_context& loop, handler on_accept)
    : acceptor_(loop), retry_timer_(loop), on_accept_(std::move(on_accept)) {}

result<void> listener::open(const http::endpoint& endpoint) {
    net_error error;
    const auto address = asio::ip::make_address(endpoint.host, error);
    if (error) {
        return failure(http::errc::bad_endpoint);
    }
    const tcp::endpoint address_and_port{address, endpoint.port};
    acceptor_.open(address_and_port.protocol(), error);
    if (!error) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(address_and_port, error);
    }
    if (!error) {
        acceptor_.listen(listen_backlog, error);
    }
    if (error) {
        close();
        return failure(error == asio::error::address_in_use ? http::errc::address_in_use
                                                            : http::errc::server_not_started);
    }
    accept();
    return {};
}

void listener::close() {
    net_error ignored; // The listener is discarded in any case.
    acceptor_.close(ignored);
}

void listener::accept() {
    acceptor_.async_accept([this](const net_error& error, tcp::socket socket) {
        if (error == asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (!error) {
            on_accept_(std::move(socket));
            accept();
            return;
        }
        retry_timer_.expires_after(accept_retry_delay);
        retry_timer_.async_wait([this](const net_error& ended) {
            if (!ended) {
                accept();
            }
        });
    });
}

asio::awaitable<void> serve_pages(tcp::socket socket, page_handler respond) {
    boost::beast::flat_buffer buffer{http::max_unparsed_bytes};
    bool keeps_alive = true;
    while (keeps_alive) {
        beast_http::request<beast_http::empty_body> request;
        net_error error;
        co_await beast_http::async_read(socket, buffer, request, capture_error(error));
        if (error) {
            co_return;
        }
        const auto target = request.target();
        const page content = respond({target.data(), target.size()});
        beast_http::response<beast_http::string_body> response;
        response.version(request.version());
        response.result(content.status);
        response.set(beast_http::field::content_type, content.content_type);
        response.body() = content.body;
        response.keep_alive(request.keep_alive());
        response.prepare_payload();
        co_await beast_http::async_write(socket, response, capture_error(error));
        keeps_alive = !error && response.keep_alive();
    }
}

} // namespace cicadahatch::gateway
