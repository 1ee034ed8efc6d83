#pragma once

#include "src/core/result.hpp"
#include "src/forwarding/asio.hpp"
#include "src/http/endpoint.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace cicadahatch::gateway {

/// \brief Accepts connections and passes each to a handler.
class listener {
public:
    using handler = std::function<void(forwarding::tcp::socket)>;

    listener(forwarding::asio::io_context& loop, handler on_accept);

    [[nodiscard]] result<void> open(const http::endpoint& endpoint);
    void close();

private:
    void accept();

    forwarding::tcp::acceptor acceptor_;
    forwarding::asio::steady_timer retry_timer_;
    handler on_accept_;
};

/// \brief Response of an HTTP endpoint of the daemon itself.
struct page {
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

using page_handler = std::function<page(std::string_view path)>;

/// \brief Answers HTTP requests on a connection until it closes.
[[nodiscard]] forwarding::asio::awaitable<void> serve_pages(forwarding::tcp::socket socket,
                                                            page_handler respond);

} // namespace cicadahatch::gateway
