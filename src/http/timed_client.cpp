#include "src/http/timed_client.hpp"

#include "src/http/constants.hpp"
#include "src/http/error.hpp"
#include "src/http/idle_connection.hpp"
#include "src/http/response_head.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>

namespace cicadahatch::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

using std::chrono::steady_clock;

/// Bytes of a response read at once.
constexpr std::size_t read_bytes = 8192;

using beast_request = beast::http::request<beast::http::string_body>;
using beast_parser = beast::http::response_parser<beast::http::string_body>;

beast_request to_beast(const request& sent, const std::string& host) {
    const std::string target = sent.query.empty() ? sent.path : sent.path + "?" + sent.query;
    beast_request made;
    made.version(11);
    made.method_string(sent.method);
    made.target(target);
    made.set(beast::http::field::host, host);
    for (const header& entry : sent.headers) {
        made.insert(entry.name, entry.value);
    }
    made.body() = sent.body;
    made.prepare_payload();
    return made;
}

/// \brief When a call is given up if no further byte arrives.
class call_deadline {
public:
    explicit call_deadline(const call_limits& limits)
        : silence_(limits.silence), first_byte_by_(steady_clock::now() + limits.first_byte),
          ends_(steady_clock::now() + limits.total) {}

    void record_progress() { received_at_ = steady_clock::now(); }
    [[nodiscard]] steady_clock::time_point next() const {
        return std::min(ends_, std::max(first_byte_by_, received_at_ + silence_));
    }
    [[nodiscard]] bool is_over() const { return steady_clock::now() >= ends_; }

private:
    std::chrono::milliseconds silence_;
    steady_clock::time_point first_byte_by_;
    steady_clock::time_point ends_;
    steady_clock::time_point received_at_;
};

/// \param is_in_body the head of a final response has arrived
errc to_errc(const boost::system::error_code& error, const call_deadline& deadline,
             bool is_in_body) {
    if (error == beast::http::error::body_limit) {
        return errc::body_too_large;
    }
    if (error != beast::error::timeout) {
        return errc::response_broken;
    }
    return is_in_body && deadline.is_over() ? errc::body_late : errc::response_timeout;
}

header_list copy_fields(const beast::http::fields& head) {
    header_list copied;
    for (const auto& entry : head) {
        copied.push_back({std::string{entry.name_string()}, std::string{entry.value()}});
    }
    return copied;
}

} // namespace

struct timed_client::connection {
    explicit connection(endpoint where) : place(std::move(where)) {}

    /// Runs the loop until the operation has ended, and hands its error over.
    template <class Start>
    boost::system::error_code run(Start start) {
        boost::system::error_code outcome = asio::error::would_block;
        start([&outcome](boost::system::error_code error, auto&&...) { outcome = error; });
        loop.restart();
        loop.run();
        return outcome;
    }

    boost::system::error_code read_head(beast_parser& parser, call_deadline& deadline) {
        boost::system::error_code error = parse_response_head(parser, buffer);
        while (error == beast::http::error::need_more) {
            std::size_t received = 0;
            stream->expires_at(deadline.next());
            error = run([&](auto done) {
                const auto space = buffer.prepare(beast::read_size(buffer, read_bytes));
                stream->async_read_some(space, [&received, done](auto failed, std::size_t bytes) {
                    received = bytes;
                    done(failed);
                });
            });
            if (!error) {
                deadline.record_progress();
                buffer.commit(received);
                error = parse_response_head(parser, buffer);
            }
        }
        return error;
    }

    boost::system::error_code read_body(beast_parser& parser, call_deadline& deadline) {
        boost::system::error_code error;
        while (!error && !parser.is_done()) {
            stream->expires_at(deadline.next());
            error = run(
                [&](auto done) { beast::http::async_read_some(*stream, buffer, parser, done); });
            deadline.record_progress();
        }
        return error;
    }

    /// Reads the response that follows any interim ones, and counts these.
    boost::system::error_code read(std::optional<beast_parser>& parser, header_list& fields,
                                   int& interim, call_deadline& deadline, std::size_t body_limit) {
        boost::system::error_code error;
        do {
            parser.emplace();
            parser->body_limit(body_limit);
            error = read_head(*parser, deadline);
            if (!error) {
                // Taken before the body is read: the parser adds trailer fields to the head.
                fields = copy_fields(parser->get());
                error = read_body(*parser, deadline);
            }
        } while (!error && is_interim(parser->get().result_int()) &&
                 ++interim <= max_interim_responses);
        return error;
    }

    /// \returns whether the open connection has received nothing since the last response
    [[nodiscard]] bool is_idle_alive() {
        return buffer.size() == 0 && http::is_idle_alive(stream->socket().native_handle());
    }

    void close() {
        stream.reset();
        buffer.clear();
    }

    endpoint place;
    asio::io_context loop{1};
    std::unique_ptr<beast::tcp_stream> stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
};

timed_client::timed_client(endpoint place)
    : connection_(std::make_unique<connection>(std::move(place))) {}

timed_client::~timed_client() = default;

result<response> timed_client::call(const request& sent, const call_limits& limits,
                                    bool is_repeatable) {
    connection& used = *connection_;
    if (used.stream != nullptr && !used.is_idle_alive()) {
        used.close();
    }
    const bool was_kept = used.stream != nullptr;
    call_deadline deadline{limits};
    if (!was_kept) {
        boost::system::error_code bad_address;
        const auto address = asio::ip::make_address(used.place.host, bad_address);
        if (bad_address) {
            return failure(errc::bad_endpoint);
        }
        used.stream = std::make_unique<beast::tcp_stream>(used.loop);
        used.stream->expires_at(deadline.next());
        const asio::ip::tcp::endpoint to{address, used.place.port};
        if (used.run([&](auto done) { used.stream->async_connect(to, done); })) {
            used.close();
            return failure(errc::connect_failed);
        }
        boost::system::error_code ignored; // Only a delay: the connection works without the option.
        used.stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    used.stream->expires_at(deadline.next());
    const beast_request message = to_beast(sent, to_string(used.place));
    boost::system::error_code error =
        used.run([&](auto done) { beast::http::async_write(*used.stream, message, done); });
    std::optional<beast_parser> parser;
    header_list fields;
    int interim = 0;
    if (!error) {
        error = used.read(parser, fields, interim, deadline, limits.body_bytes);
    }
    if (!error && parser->get().result_int() >= status_ok) {
        if (!parser->keep_alive()) {
            used.close();
        }
        const int status = static_cast<int>(parser->get().result_int());
        return response{status, std::move(fields), std::move(parser->get().body())};
    }
    used.close();
    const bool has_received = interim > 0 || (parser && parser->got_some());
    const bool is_stale = was_kept && error != beast::error::timeout && !has_received;
    if (is_stale && is_repeatable) {
        return call(sent, limits, false);
    }
    return failure(to_errc(error, deadline, parser && parser->is_header_done()));
}

} // namespace cicadahatch::http
