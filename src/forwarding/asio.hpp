#pragma once

/// \file
/// \brief Boost.Asio and Beast headers and aliases of the forwarding path.

// Boost 1.74's coroutine headers use std::exchange without including its header.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace cicadahatch::forwarding {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using boost::asio::ip::tcp;
using field_map = beast_http::fields;
using net_error = boost::system::error_code;

/// \brief Completion token that stores the error of an awaited operation instead of throwing it.
[[nodiscard]] inline auto capture_error(net_error& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

} // namespace cicadahatch::forwarding
