#include "src/engines/order_call.hpp"

#include "src/engines/error.hpp"
#include "src/engines/internal/requests.hpp"
#include "src/engines/internal/responses.hpp"
#include "src/http/client.hpp"

namespace cicadahatch::engines {

result<void> send_order(const http::endpoint& endpoint, const order_request& order,
                        const clock& time, time_point not_after,
                        std::chrono::milliseconds timeout) {
    const http::request request = internal::to_http(order);
    auto connection = http::client_connection::open(endpoint);
    if (!connection) {
        return failure(errc::not_reached);
    }
    if (time.now() > not_after) {
        return failure(errc::too_late);
    }
    const auto content = internal::parse_object(connection->call(request, timeout));
    if (!content) {
        return tl::unexpected(content.error());
    }
    return {};
}

} // namespace cicadahatch::engines
