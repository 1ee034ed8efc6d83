#pragma once

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

/// \file
/// \brief Plain HTTP/1.1 pieces that the stand-ins share. All addresses are loopback.

namespace review {

namespace beast_http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using net_error = boost::system::error_code;
using http_request = beast_http::request<beast_http::string_body>;
using http_response = beast_http::response<beast_http::string_body>;
using json = nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline constexpr const char* loopback = "127.0.0.1";
inline constexpr const char* id_field = "X-Cicadahatch-Attempt-Id";
inline constexpr const char* deadline_field = "X-Cicadahatch-Deadline-Ms";
inline constexpr const char* signature_field = "X-Cicadahatch-Server-Signature";
inline constexpr const char* target_field = "X-Cicadahatch-Target-Instance";
inline constexpr const char* not_executed_field = "X-Cicadahatch-Not-Executed";

std::string field_of(const http_request& from, const char* name);
std::string base64(const std::string& bytes);

/// \returns a loopback port that is free now
std::uint16_t free_port();
std::string place_of(std::uint16_t port);

/// \brief Accepts connections on a loopback port and serves each in a thread of its own. The
/// threads run until the process exits.
class server {
public:
    using handler = std::function<void(tcp::socket&)>;

    explicit server(handler serve);
    [[nodiscard]] std::uint16_t port() const { return port_; }

    /// \brief Closes the port, as a process that exits does. Open connections are left to the
    /// caller.
    void stop() { *is_stopped_ = true; }

private:
    std::uint16_t port_ = 0;
    std::shared_ptr<std::atomic<bool>> is_stopped_ = std::make_shared<std::atomic<bool>>(false);
};

/// \brief Reads one request. \returns false if the connection has ended
bool read_request(tcp::socket& from, boost::beast::flat_buffer& buffer, http_request& into);
bool write_response(tcp::socket& to, http_response answer);
http_response json_response(unsigned status, const json& body);

} // namespace review
