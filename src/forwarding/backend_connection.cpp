#include "src/forwarding/backend_connection.hpp"

#include "src/forwarding/error.hpp"
#include "src/http/idle_connection.hpp"
#include "src/http/response_head.hpp"
#include "src/http/truncation.hpp"

#include <array>
#include <boost/beast/core/read_size.hpp>
#include <charconv>
#include <limits>
#include <netinet/tcp.h>

namespace cicadahatch::forwarding {

namespace {

/// Bytes of a body read at once; an event of a token stream has some hundred.
constexpr std::size_t read_bytes = 8192;

/// Silence after which a keepalive probe is sent, and the time in which it must be confirmed: the
/// shortest that the kernel takes.
constexpr int keepalive_seconds = 1;

} // namespace

backend_connection::backend_connection(asio::io_context& loop, backend_id id, incarnation started)
    : socket_(loop), deadline_timer_(loop), id_(std::move(id)), started_(started) {}

std::error_code backend_connection::classify_error(const net_error& error) const {
    if (!error) {
        return {};
    }
    if (is_cancelled_) {
        return errc::cancelled;
    }
    if (has_expired_) {
        return errc::timed_out;
    }
    const bool is_protocol =
        error.category() == beast_http::make_error_code(beast_http::error::bad_version).category();
    const bool has_ended =
        error == beast_http::error::end_of_stream || error == beast_http::error::partial_message;
    return is_protocol && !has_ended ? errc::bad_response : errc::connection_lost;
}

asio::awaitable<std::error_code> backend_connection::connect(http::endpoint endpoint) {
    net_error error;
    const auto address = asio::ip::make_address(endpoint.host, error);
    if (!error) {
        const tcp::endpoint remote{address, endpoint.port};
        co_await socket_.async_connect(remote, capture_error(error));
    }
    was_refused_ = error == asio::error::connection_refused;
    if (error) {
        co_return is_cancelled_ ? errc::cancelled : errc::connect_failed;
    }
    net_error ignored; // Without the option, the connection is only slower.
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    co_return std::error_code{};
}

void backend_connection::start_request(backend_request outgoing) {
    auto message = std::make_shared<backend_request>(std::move(outgoing));
    is_head_request_ = message->method() == beast_http::verb::head;
    is_request_written_ = false;
    write_error_ = {};
    ++requests_;
    beast_http::async_write(socket_, *message,
                            [self = shared_from_this(), message](const net_error& error, auto) {
                                self->is_request_written_ = !error;
                                self->write_error_ = error;
                                self->is_broken_ = self->is_broken_ || error.failed();
                            });
}

asio::awaitable<std::error_code> backend_connection::read_head() {
    std::error_code error = co_await read_next_head();
    int interim = 0;
    while (!error && http::is_interim(status()) && ++interim <= http::max_interim_responses) {
        error = co_await read_next_head();
    }
    if (!error && status() < http::status_ok) {
        is_broken_ = true;
        co_return errc::bad_response;
    }
    co_return error;
}

asio::awaitable<std::error_code> backend_connection::read_next_head() {
    parser_.emplace();
    parser_->header_limit(http::max_response_head_bytes);
    // Callers of read_body() bound what they buffer; a stream has no total limit.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->skip(is_head_request_);
    net_error error = http::parse_response_head(*parser_, buffer_);
    while (error == beast_http::error::need_more) {
        const std::size_t received = co_await socket_.async_read_some(
            buffer_.prepare(boost::beast::read_size(buffer_, read_bytes)), capture_error(error));
        if (!error) {
            buffer_.commit(received);
            error = http::parse_response_head(*parser_, buffer_);
        }
    }
    if (error) {
        is_broken_ = true;
    }
    co_return classify_error(error);
}

asio::awaitable<std::error_code> backend_connection::read_body(std::string& output) {
    if (parser_->is_done()) {
        co_return std::error_code{};
    }
    std::array<char, read_bytes> chunk; // NOLINT(cppcoreguidelines-pro-type-member-init): read into
    auto& body = parser_->get().body();
    body.data = chunk.data();
    body.size = chunk.size();
    net_error error;
    co_await beast_http::async_read_some(socket_, buffer_, *parser_, capture_error(error));
    if (error == beast_http::error::need_buffer) {
        error = {};
    }
    output.append(chunk.data(), chunk.size() - body.size);
    if (!error && parser_->is_done() && http::is_truncated(*parser_, write_error_)) {
        error = write_error_;
    }
    if (error) {
        is_broken_ = true;
    }
    co_return classify_error(error);
}

void backend_connection::set_deadline(time_point at) {
    deadline_timer_.expires_at(at);
    deadline_timer_.async_wait([weak = weak_from_this()](const net_error& error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->expire();
        }
    });
}

void backend_connection::expire() {
    has_expired_ = true;
    close();
}

void backend_connection::enable_keepalive() {
    using keepalive_option = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using keepalive_interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using keepalive_probes = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    net_error ignored; // Without the options, the connection is kept until its deadline.
    socket_.set_option(keepalive_option{keepalive_seconds}, ignored);
    socket_.set_option(keepalive_interval{keepalive_seconds}, ignored);
    socket_.set_option(keepalive_probes{1}, ignored);
    socket_.set_option(asio::socket_base::keep_alive{true}, ignored);
}

void backend_connection::clear_deadline() {
    deadline_timer_.cancel();
}

void backend_connection::cancel() {
    is_cancelled_ = true;
    close();
}

void backend_connection::close() {
    net_error ignored; // The socket is discarded in any case.
    socket_.close(ignored);
    is_broken_ = true;
}

bool backend_connection::is_reusable() const {
    return !is_broken_ && is_request_written_ && parser_ && parser_->is_done() &&
           parser_->keep_alive() && buffer_.size() == 0 && socket_.is_open();
}

bool backend_connection::is_idle_alive() {
    return http::is_idle_alive(socket_.native_handle());
}

std::optional<std::chrono::seconds> backend_connection::idle_timeout() const {
    const auto found = parser_->get().find(beast_http::field::keep_alive);
    if (found == parser_->get().end()) {
        return std::nullopt;
    }
    const auto text = found->value();
    constexpr boost::beast::string_view key{"timeout="};
    const auto at = text.find(key);
    if (at == boost::beast::string_view::npos) {
        return std::nullopt;
    }
    const char* digits = text.data() + at + key.size();
    int seconds = 0;
    const auto parsed = std::from_chars(digits, text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{}) {
        return std::nullopt;
    }
    return std::chrono::seconds{seconds};
}

} // namespace cicadahatch::forwarding
