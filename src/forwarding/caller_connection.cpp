#include "src/forwarding/caller_connection.hpp"

#include "src/forwarding/constants.hpp"
#include "src/forwarding/final_answer.hpp"
#include "src/forwarding/forward.hpp"
#include "src/forwarding/header_fields.hpp"

namespace cicadahatch::forwarding {

namespace {

constexpr unsigned http_1_0 = 10;
constexpr std::string_view continue_answer = "HTTP/1.1 100 Continue\r\n\r\n";

/// Bytes of a next request that are taken while the present one is still served.
constexpr std::size_t max_pipelined_bytes = 16384;

unsigned status_of(const net_error& error) {
    if (error == beast_http::error::header_limit) {
        return static_cast<unsigned>(beast_http::status::request_header_fields_too_large);
    }
    if (error == beast_http::error::body_limit) {
        return static_cast<unsigned>(beast_http::status::payload_too_large);
    }
    return static_cast<unsigned>(beast_http::status::bad_request);
}

bool is_from_parser(const net_error& error) {
    const bool has_ended =
        error == beast_http::error::end_of_stream || error == beast_http::error::partial_message;
    const auto& category = beast_http::make_error_code(beast_http::error::bad_target).category();
    return error.category() == category && !has_ended;
}

backend_request copy_head(const beast_http::request_header<>& head) {
    backend_request message;
    message.base() = head;
    message.version(11); // NOLINT(readability-magic-numbers): HTTP/1.1
    remove_connection_fields(message);
    return message;
}

} // namespace

caller_connection::caller_connection(gateway_state& state, tcp::socket socket)
    : state_(state), socket_(std::move(socket)), guard_(state.loop) {
    net_error ignored; // Only a delay: the connection works without the options.
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

routing::input_limits caller_connection::limits() const {
    return state_.table ? state_.table->limits() : routing::input_limits{};
}

void caller_connection::start_guard(std::chrono::milliseconds time) {
    has_expired_ = false;
    guard_.expires_after(time);
    guard_.async_wait([weak = weak_from_this()](const net_error& error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->has_expired_ = true;
            net_error ignored; // Without pending operations there is nothing to end.
            self->socket_.cancel(ignored);
        }
    });
}

void caller_connection::stop_guard() {
    guard_.cancel();
}

void caller_connection::abort() {
    is_aborted_ = true;
    is_keeping_alive_ = false;
    net_error ignored; // The connection is given up in any case.
    socket_.close(ignored);
}

void caller_connection::close_if_idle() {
    if (is_idle_ && buffer_.size() == 0) {
        abort();
    }
}

asio::awaitable<bool> caller_connection::wait_for_request() {
    if (buffer_.size() > 0) {
        co_return true;
    }
    is_idle_ = true;
    start_guard(limits().idle_timeout);
    net_error error;
    co_await socket_.async_wait(tcp::socket::wait_read, capture_error(error));
    stop_guard();
    is_idle_ = false;
    co_return !error && !is_aborted_;
}

asio::awaitable<void> caller_connection::reject(const net_error& error) {
    is_keeping_alive_ = false;
    if (has_expired_) {
        co_await send(own_answer(static_cast<unsigned>(beast_http::status::request_timeout),
                                 "request not received in time"));
    } else if (is_from_parser(error)) {
        co_await send(own_answer(status_of(error), "request not understood"));
    }
    state_.log.write(logging::weight::notable, "caller.rejected",
                     {{"error", error.message()}, {"expired", has_expired_}});
}

asio::awaitable<bool> caller_connection::read_request(request_parser& parser,
                                                      std::optional<backend_request>& message) {
    start_guard(limits().head_timeout);
    net_error error;
    co_await beast_http::async_read_header(socket_, buffer_, parser, capture_error(error));
    if (error) {
        stop_guard();
        co_await reject(error);
        co_return false;
    }
    version_ = parser.get().version();
    is_head_request_ = parser.get().method() == beast_http::verb::head;
    is_keeping_alive_ = parser.keep_alive();
    if (check_head(parser.get()) != head_fault::none) {
        stop_guard();
        co_await reject(beast_http::make_error_code(beast_http::error::bad_target));
        co_return false;
    }
    // Fields behind a chunked body must not be taken for fields of the head.
    message = copy_head(parser.get());
    const auto expect = parser.get()[beast_http::field::expect];
    if (boost::beast::iequals(expect, "100-continue") && !parser.is_done()) {
        co_await asio::async_write(socket_,
                                   asio::buffer(continue_answer.data(), continue_answer.size()),
                                   capture_error(error));
    }
    if (!error && !parser.is_done()) {
        co_await beast_http::async_read(socket_, buffer_, parser, capture_error(error));
    }
    stop_guard();
    if (error) {
        co_await reject(error);
        co_return false;
    }
    message->body() = std::move(parser.get().body());
    co_return true;
}

asio::awaitable<bool> caller_connection::serve_request() {
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits().head_bytes));
    parser.body_limit(limits().body_bytes);
    std::optional<backend_request> message;
    if (!co_await read_request(parser, message)) {
        co_return false;
    }
    is_answered_ = false;
    is_chunked_ = version_ > http_1_0;
    const admission admitted = admit(state_, std::move(*message));
    if (!admitted.request) {
        co_await send(admitted.refusal);
        co_return is_keeping_alive_;
    }
    const std::size_t buffered = admitted.request->message.body().size();
    state_.buffered_bytes += buffered;
    ++state_.running_requests;
    co_await run(admitted.request);
    --state_.running_requests;
    state_.buffered_bytes -= buffered;
    co_return is_keeping_alive_ && !is_aborted_;
}

asio::awaitable<void> caller_connection::run(request_context_ptr request) {
    request->start_timer();
    watch(request);
    co_await forward(state_, request, *this);
    ++watched_;
    request->stop_timer();
    net_error ignored; // Nothing but the watch is pending.
    socket_.cancel(ignored);
}

void caller_connection::watch(const request_context_ptr& request) {
    const std::uint64_t turn = watched_;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), request, turn](const net_error& error) {
                           if (turn == self->watched_ && !error) {
                               self->on_readable(request);
                           }
                       });
}

void caller_connection::on_readable(const request_context_ptr& request) {
    constexpr std::size_t step = 4096;
    net_error error;
    const std::size_t got = socket_.read_some(buffer_.prepare(step), error);
    if (error == asio::error::would_block) {
        watch(request);
        return;
    }
    if (error) {
        is_keeping_alive_ = false;
        request->end(ending::caller_left);
        return;
    }
    buffer_.commit(got);
    if (buffer_.size() < max_pipelined_bytes) {
        watch(request);
    }
}

asio::awaitable<bool> caller_connection::send(caller_answer answer) {
    const bool is_closing = state_.is_stopping || !is_keeping_alive_;
    answer.version(version_);
    answer.keep_alive(!is_closing);
    is_keeping_alive_ = !is_closing;
    if (!is_head_request_) {
        answer.prepare_payload();
    } else {
        answer.body().clear();
    }
    start_guard(slow_reader_timeout);
    net_error error;
    beast_http::response_serializer<beast_http::string_body> serializer{answer};
    if (is_head_request_) {
        co_await beast_http::async_write_header(socket_, serializer, capture_error(error));
    } else {
        co_await beast_http::async_write(socket_, serializer, capture_error(error));
    }
    stop_guard();
    is_answered_ = !error;
    if (error) {
        abort();
    }
    co_return !error;
}

asio::awaitable<bool> caller_connection::begin_stream(unsigned status, const field_map& head) {
    const bool is_closing = state_.is_stopping || !is_keeping_alive_ || !is_chunked_;
    is_keeping_alive_ = !is_closing;
    beast_http::response<beast_http::empty_body> answer;
    static_cast<field_map&>(answer) = head;
    answer.result(status);
    answer.version(version_);
    answer.keep_alive(!is_closing);
    answer.chunked(is_chunked_);
    beast_http::response_serializer<beast_http::empty_body> serializer{answer};
    start_guard(slow_reader_timeout);
    net_error error;
    co_await beast_http::async_write_header(socket_, serializer, capture_error(error));
    stop_guard();
    if (error) {
        abort();
    }
    co_return !error;
}

asio::awaitable<bool> caller_connection::send_part(std::string part) {
    if (part.empty()) {
        co_return !is_aborted_;
    }
    start_guard(slow_reader_timeout);
    net_error error;
    if (is_chunked_) {
        co_await asio::async_write(socket_, beast_http::make_chunk(asio::buffer(part)),
                                   capture_error(error));
    } else {
        co_await asio::async_write(socket_, asio::buffer(part), capture_error(error));
    }
    stop_guard();
    if (error) {
        abort();
    }
    co_return !error;
}

asio::awaitable<bool> caller_connection::end_stream() {
    net_error error;
    if (is_chunked_) {
        start_guard(slow_reader_timeout);
        co_await asio::async_write(socket_, beast_http::make_chunk_last(), capture_error(error));
        stop_guard();
    }
    is_answered_ = !error;
    if (error) {
        abort();
    }
    co_return !error;
}

asio::awaitable<void> caller_connection::close_gracefully() {
    if (is_aborted_) {
        co_return;
    }
    net_error error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    start_guard(lingering_time);
    std::array<char, 4096> dropped{}; // NOLINT(readability-magic-numbers): a page
    while (!error && !has_expired_) {
        co_await socket_.async_read_some(asio::buffer(dropped), capture_error(error));
    }
    stop_guard();
    abort();
}

asio::awaitable<void> caller_connection::serve() {
    const auto self = shared_from_this();
    bool goes_on = true;
    while (goes_on && !is_aborted_) {
        if (!co_await wait_for_request()) {
            abort();
            co_return;
        }
        goes_on = co_await serve_request();
    }
    co_await close_gracefully();
}

} // namespace cicadahatch::forwarding
