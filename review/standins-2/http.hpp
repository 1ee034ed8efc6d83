#pragma once

/// \file
/// \brief HTTP over blocking sockets of the loopback address: a listener with a thread for each
/// connection, and a client's channel.

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace standins {

namespace beast_http = boost::beast::http;
using boost::asio::ip::tcp;
using any_request = beast_http::request<beast_http::string_body>;
using time_point = std::chrono::steady_clock::time_point;

/// \returns the value of a header field; empty if it is absent
[[nodiscard]] std::string field_of(const any_request& asked, const char* name);

/// \brief Accepts connections on a free port. Its threads end with the process.
class listener {
public:
    /// \brief Answers one request. \returns whether the connection stays open
    using handler = std::function<bool(tcp::socket&, const any_request&)>;

    explicit listener(handler answer);

    [[nodiscard]] unsigned short port() const noexcept { return port_; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    unsigned short port_ = 0;
};

/// \brief Writes bytes. \returns whether all were taken
bool send_bytes(tcp::socket& socket, std::string_view bytes);

/// \brief Writes a whole answer.
/// \param fields further header fields, each with its line end
bool send_answer(tcp::socket& socket, unsigned status, const std::string& fields,
                 const std::string& body);

/// \returns a port that is free now
[[nodiscard]] unsigned short free_port();

/// \brief What a client has seen of one answer.
struct received {
    unsigned status = 0;         ///< of the final answer; zero: none came
    unsigned interim_status = 0; ///< of the last interim answer; zero: none came
    bool is_whole = false;       ///< the final answer has reached its end
    bool is_closed = false;      ///< the channel has ended
    std::string head;            ///< of the final answer
    std::string bytes;           ///< all that came
    time_point sent_at;          ///< when the last byte of the request was written
    time_point ended_at;
};

/// \returns the value of a field of a raw head; empty if it is absent
[[nodiscard]] std::string value_in_head(const std::string& head, const std::string& name);

/// \brief A client's channel, which may be kept for further requests.
class channel {
public:
    explicit channel(unsigned short port);
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    channel(channel&&) = delete;
    channel& operator=(channel&&) = delete;
    ~channel();

    /// \brief Sends a request and reads until its final answer is whole, the channel ends or the
    /// time is over. Reads past interim answers, as HTTP/1.1 asks of a client.
    [[nodiscard]] received exchange(const std::string& request, std::chrono::milliseconds patience);

private:
    int descriptor_ = -1;
};

/// \returns the status of a GET; zero if there was no answer
[[nodiscard]] unsigned get_status(unsigned short port, const std::string& path);

} // namespace standins
