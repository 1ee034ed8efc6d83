#include "src/forwarding/caller_connection.hpp"

#include "src/forwarding/constants.hpp"
#include "src/forwarding/forward.hpp"
#include "src/forwarding/header_fields.hpp"
#include "src/forwarding/local_response.hpp"
#include "src/http/constants.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

constexpr unsigned http_1_0 = 10;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

/// Bytes of the next request that are read while the current one is in progress.
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

bool is_parser_error(const net_error& error) {
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

/// Counts a request in progress until the end of the scope, also if an exception ends it.
class running_request {
public:
    explicit running_request(gateway_state& state) : state_(state) { ++state_.running_requests; }
    running_request(const running_request&) = delete;
    running_request& operator=(const running_request&) = delete;
    running_request(running_request&&) = delete;
    running_request& operator=(running_request&&) = delete;
    ~running_request() { --state_.running_requests; }

private:
    gateway_state& state_;
};

/// Smallest room for a chunked body, and the factor by which it grows.
constexpr std::size_t min_body_capacity = 4096;
constexpr std::size_t body_growth = 2;

/// Room of a chunked body that is read next; a read never takes more.
constexpr std::size_t max_read_bytes = 2048;

} // namespace

caller_connection::caller_connection(gateway_state& state, tcp::socket socket)
    : state_(state), socket_(std::move(socket)), timeout_timer_(state.loop) {
    net_error ignored; // Without the options, the connection is only slower.
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
}

routing::input_limits caller_connection::limits() const {
    return state_.table ? state_.table->limits() : routing::input_limits{};
}

void caller_connection::start_timeout(std::chrono::milliseconds timeout) {
    has_expired_ = false;
    timeout_timer_.expires_after(timeout);
    timeout_timer_.async_wait([weak = weak_from_this()](const net_error& error) {
        const auto self = weak.lock();
        if (!error && self) {
            self->has_expired_ = true;
            net_error ignored; // Fails only if no operation is pending.
            self->socket_.cancel(ignored);
        }
    });
}

void caller_connection::stop_timeout() {
    timeout_timer_.cancel();
}

void caller_connection::abort() {
    is_aborted_ = true;
    is_keep_alive_ = false;
    net_error ignored; // The connection is discarded in any case.
    socket_.close(ignored);
}

bool caller_connection::has_unread_bytes() const {
    net_error ignored; // A socket that can't tell has none.
    return buffer_.size() > 0 || socket_.available(ignored) > 0;
}

bool caller_connection::close_if_idle() {
    // Closing a socket with unread bytes resets the connection.
    if (is_idle_ && !has_unread_bytes()) {
        abort();
    }
    return is_aborted_;
}

void caller_connection::end_unanswered(request_end_reason reason) {
    const auto request = running_.lock();
    if (request != nullptr && !request->has_response_begun()) {
        request->end(reason);
    }
}

asio::awaitable<bool> caller_connection::wait_for_request() {
    if (buffer_.size() > 0) {
        co_return true;
    }
    is_idle_ = true;
    start_timeout(limits().idle_timeout);
    net_error error;
    co_await socket_.async_wait(tcp::socket::wait_read, capture_error(error));
    stop_timeout();
    is_idle_ = false;
    // A request may arrive just as the idle time ends.
    co_return !is_aborted_ && (!error || has_unread_bytes());
}

void caller_connection::begin_reading() {
    is_evicted_ = false;
    reading_ = forwarding::begin_reading(state_.memory, state_.time.now());
    state_.eviction_handlers[reading_] = [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->is_evicted_ = true;
            net_error ignored; // Fails only if no operation is pending.
            self->socket_.cancel(ignored);
        }
    };
}

void caller_connection::end_reading() {
    state_.eviction_handlers.erase(reading_);
    forwarding::end_reading(state_.memory, reading_);
}

bool caller_connection::reserve_for_read(request_parser& parser) {
    std::string& body = parser.get().body();
    std::size_t capacity = body.capacity();
    // A body with a stated length has its room since the head was read.
    if (parser.is_header_done() && body.size() + max_read_bytes > capacity) {
        capacity = std::min(std::max(min_body_capacity, body_growth * capacity),
                            limits().body_bytes + max_read_bytes);
    }
    const std::size_t head_room = std::max(buffer_.capacity(), max_read_bytes);
    const auto grant =
        resize_reading(state_.memory, reading_, capacity + head_room, state_.time.now());
    if (!apply_grant(state_, grant)) {
        is_evicted_ = true;
        return false;
    }
    body.reserve(capacity);
    return true;
}

asio::awaitable<net_error> caller_connection::read_until(request_parser& parser, read_goal goal) {
    const auto is_reached = [&parser, goal] {
        return goal == read_goal::head ? parser.is_header_done() : parser.is_done();
    };
    net_error error;
    while (!error && !is_reached()) {
        if (is_evicted_ || !reserve_for_read(parser)) {
            error = asio::error::no_memory;
            break;
        }
        const std::size_t received =
            co_await beast_http::async_read_some(socket_, buffer_, parser, capture_error(error));
        record_received(state_.memory, reading_, received, state_.time.now());
    }
    co_return error;
}

asio::awaitable<void> caller_connection::reject(const net_error& error) {
    is_keep_alive_ = false;
    if (is_evicted_) {
        co_await send(unavailable_response("out of memory for requests", memory_retry_after));
    } else if (has_expired_) {
        co_await send(local_response(static_cast<unsigned>(beast_http::status::request_timeout),
                                     "request not received in time"));
    } else if (is_parser_error(error)) {
        co_await send(local_response(status_of(error), "request not understood"));
    }
    state_.log.write(
        logging::weight::notable, "caller.rejected",
        {{"error", error.message()}, {"expired", has_expired_}, {"evicted", is_evicted_}});
}

asio::awaitable<void> caller_connection::discard_and_reject(request_parser& parser,
                                                            net_error error) {
    // The response may take seconds to send.
    std::string{}.swap(parser.get().body());
    if (is_evicted_) {
        buffer_ = {};
    }
    end_reading();
    co_await reject(error);
}

asio::awaitable<bool> caller_connection::read_request(request_parser& parser,
                                                      std::optional<backend_request>& message) {
    start_timeout(limits().head_timeout);
    net_error error = co_await read_until(parser, read_goal::head);
    if (error) {
        stop_timeout();
        co_await discard_and_reject(parser, error);
        co_return false;
    }
    version_ = parser.get().version();
    is_head_request_ = parser.get().method() == beast_http::verb::head;
    is_keep_alive_ = parser.keep_alive();
    if (check_head(parser.get()) != head_fault::none) {
        stop_timeout();
        co_await discard_and_reject(parser,
                                    beast_http::make_error_code(beast_http::error::bad_target));
        co_return false;
    }
    // Trailer fields of a chunked body must not be merged into the head, so copy the head first.
    message = copy_head(parser.get());
    const auto expect = parser.get()[beast_http::field::expect];
    if (boost::beast::iequals(expect, "100-continue") && !parser.is_done()) {
        co_await asio::async_write(socket_,
                                   asio::buffer(continue_response.data(), continue_response.size()),
                                   capture_error(error));
    }
    if (!error) {
        // Parses all chunks that one read has returned, not one at a time.
        parser.eager(true);
        error = co_await read_until(parser, read_goal::whole_request);
    }
    stop_timeout();
    if (error) {
        co_await discard_and_reject(parser, error);
        co_return false;
    }
    message->body() = std::move(parser.get().body());
    // RFC 9110, 9.3.8; Beast throws on sending such a request.
    if (message->method() == beast_http::verb::trace && !message->body().empty()) {
        co_await discard_and_reject(parser,
                                    beast_http::make_error_code(beast_http::error::bad_method));
        co_return false;
    }
    end_reading();
    co_return true;
}

void caller_connection::release_buffer() {
    // A large head leaves a large buffer, which an idle connection would keep.
    if (buffer_.size() == 0 && buffer_.capacity() > max_read_bytes) {
        buffer_ = {};
    }
}

asio::awaitable<bool> caller_connection::serve_request() {
    request_parser parser;
    buffer_.max_size(std::max(buffer_.size(), limits().head_bytes + http::max_unparsed_bytes));
    parser.header_limit(static_cast<std::uint32_t>(limits().head_bytes));
    parser.body_limit(limits().body_bytes);
    std::optional<backend_request> message;
    begin_reading();
    if (!co_await read_request(parser, message)) {
        co_return false;
    }
    release_buffer();
    is_response_sent_ = false;
    is_chunked_ = version_ > http_1_0;
    const admission admitted = admit(state_, std::move(*message));
    if (!admitted.request) {
        co_await send(admitted.rejection);
        co_return is_keep_alive_;
    }
    const running_request running{state_};
    const held_memory body{state_, admitted.memory};
    co_await run_request(admitted.request);
    co_return is_keep_alive_ && !is_aborted_;
}

asio::awaitable<void> caller_connection::run_request(request_context_ptr request) {
    running_ = request;
    request->start_timer();
    watch_for_disconnect(request);
    co_await forward(state_, request, *this);
    running_.reset();
    ++watch_generation_;
    request->stop_timer();
    net_error ignored; // Only the disconnect watch is pending.
    socket_.cancel(ignored);
}

void caller_connection::watch_for_disconnect(const request_context_ptr& request) {
    const std::uint64_t generation = watch_generation_;
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), request, generation](const net_error& error) {
                           if (generation == self->watch_generation_ && !error) {
                               self->on_readable(request);
                           }
                       });
}

void caller_connection::on_readable(const request_context_ptr& request) {
    constexpr std::size_t read_size = 4096;
    if (buffer_.size() >= max_pipelined_bytes) {
        return;
    }
    net_error error;
    const std::size_t received = socket_.read_some(buffer_.prepare(read_size), error);
    if (error == asio::error::would_block) {
        watch_for_disconnect(request);
        return;
    }
    if (error) {
        is_keep_alive_ = false;
        request->end(request_end_reason::caller_left);
        return;
    }
    buffer_.commit(received);
    watch_for_disconnect(request);
}

asio::awaitable<bool> caller_connection::send(caller_response response) {
    const bool is_closing = state_.is_stopping || !is_keep_alive_;
    response.version(version_);
    response.keep_alive(!is_closing);
    is_keep_alive_ = !is_closing;
    if (!is_head_request_) {
        response.prepare_payload();
    } else {
        response.body().clear();
    }
    hold_unconditionally(state_.memory, response.body().size());
    const held_memory held{state_, response.body().size()};
    start_timeout(slow_reader_timeout);
    net_error error;
    beast_http::response_serializer<beast_http::string_body> serializer{response};
    if (is_head_request_) {
        co_await beast_http::async_write_header(socket_, serializer, capture_error(error));
    } else {
        co_await beast_http::async_write(socket_, serializer, capture_error(error));
    }
    stop_timeout();
    is_response_sent_ = !error;
    if (error) {
        abort();
    }
    co_return !error;
}

asio::awaitable<bool> caller_connection::begin_stream(unsigned status, const field_map& head) {
    const bool is_closing = state_.is_stopping || !is_keep_alive_ || !is_chunked_;
    is_keep_alive_ = !is_closing;
    beast_http::response<beast_http::empty_body> response;
    static_cast<field_map&>(response) = head;
    response.result(status);
    response.version(version_);
    response.keep_alive(!is_closing);
    response.chunked(is_chunked_);
    beast_http::response_serializer<beast_http::empty_body> serializer{response};
    start_timeout(slow_reader_timeout);
    net_error error;
    co_await beast_http::async_write_header(socket_, serializer, capture_error(error));
    stop_timeout();
    if (error) {
        abort();
    }
    co_return !error;
}

asio::awaitable<bool> caller_connection::send_chunk(std::string chunk) {
    if (chunk.empty()) {
        co_return !is_aborted_;
    }
    start_timeout(slow_reader_timeout);
    net_error error;
    if (is_chunked_) {
        co_await asio::async_write(socket_, beast_http::make_chunk(asio::buffer(chunk)),
                                   capture_error(error));
    } else {
        co_await asio::async_write(socket_, asio::buffer(chunk), capture_error(error));
    }
    stop_timeout();
    if (error) {
        abort();
    }
    co_return !error;
}

asio::awaitable<bool> caller_connection::end_stream() {
    net_error error;
    if (is_chunked_) {
        start_timeout(slow_reader_timeout);
        co_await asio::async_write(socket_, beast_http::make_chunk_last(), capture_error(error));
        stop_timeout();
    }
    is_response_sent_ = !error;
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
    start_timeout(linger_timeout);
    std::array<char, 4096> dropped{}; // NOLINT(readability-magic-numbers): a page
    while (!error && !has_expired_) {
        co_await socket_.async_read_some(asio::buffer(dropped), capture_error(error));
    }
    stop_timeout();
    abort();
}

asio::awaitable<void> caller_connection::serve() {
    const auto self = shared_from_this();
    bool is_persistent = true;
    while (is_persistent && !is_aborted_) {
        if (!co_await wait_for_request()) {
            abort();
            co_return;
        }
        is_persistent = co_await serve_request();
    }
    co_await close_gracefully();
}

} // namespace cicadahatch::forwarding
