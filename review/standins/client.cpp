#include "review/standins/client.hpp"

#include <boost/asio/write.hpp>
#include <poll.h>

namespace review {

namespace {

constexpr std::size_t read_bytes = 65536;

/// \returns whether bytes, or the end of the channel, came in time
bool wait_readable(tcp::socket& socket, clock::time_point until) {
    const auto left = std::chrono::ceil<milliseconds>(until - clock::now()).count();
    pollfd waiting{socket.native_handle(), POLLIN, 0};
    return left > 0 && ::poll(&waiting, 1, static_cast<int>(left)) > 0;
}

std::string text(boost::beast::string_view view) {
    return {view.data(), view.size()};
}

} // namespace

std::string head_of(const call& asked, std::size_t body_bytes) {
    std::string head =
        asked.method + " " + asked.path + " HTTP/1.1\r\nHost: " + asked.host + "\r\n";
    if (!asked.id.empty()) {
        head += std::string{id_field} + ": " + asked.id + "\r\n";
    }
    if (asked.deadline) {
        head +=
            std::string{deadline_field} + ": " + std::to_string(asked.deadline->count()) + "\r\n";
    }
    if (asked.method == "POST") {
        head += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    }
    return head + "\r\n";
}

channel::channel(std::uint16_t port) {
    net_error error;
    socket_.connect({boost::asio::ip::make_address(loopback), port}, error);
    is_open_ = !error;
    if (is_open_) {
        socket_.set_option(tcp::no_delay(true), error);
    }
}

bool channel::send(const call& asked) {
    return send_bytes(head_of(asked, asked.body.size()) + asked.body);
}

bool channel::send_bytes(const std::string& bytes) {
    net_error error;
    boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    return !error;
}

outcome channel::receive(milliseconds patience) {
    const auto until = clock::now() + patience;
    beast_http::response_parser<beast_http::string_body> parser;
    outcome got;
    net_error error;
    while (!parser.is_done()) {
        if (!wait_readable(socket_, until)) {
            got.fault = "no answer in time";
            is_open_ = false;
            socket_.close(error);
            return got;
        }
        const std::size_t received = socket_.read_some(buffer_.prepare(read_bytes), error);
        buffer_.commit(received);
        if (error) {
            const bool is_end = error == boost::asio::error::eof && parser.got_some();
            is_open_ = false;
            if (is_end) {
                parser.put_eof(error);
            }
            if (error || !parser.is_done()) {
                got.fault = "the channel ended without an answer";
                return got;
            }
            break;
        }
        parser.eager(true);
        const std::size_t used = parser.put(buffer_.data(), error);
        buffer_.consume(used);
        if (error && error != beast_http::error::need_more) {
            got.fault = "not an answer: " + error.message();
            return got;
        }
    }
    const auto& answer = parser.get();
    got.status = answer.result_int();
    got.id = text(answer[id_field]);
    got.signature = text(answer[signature_field]);
    got.retry_after = text(answer[beast_http::field::retry_after]);
    got.body = answer.body();
    is_open_ = is_open_ && answer.keep_alive();
    return got;
}

outcome send_once(std::uint16_t port, const call& asked, milliseconds patience) {
    channel opened{port};
    if (!opened.is_open() || !opened.send(asked)) {
        outcome failed;
        failed.fault = "not sent";
        return failed;
    }
    return opened.receive(patience);
}

} // namespace review
