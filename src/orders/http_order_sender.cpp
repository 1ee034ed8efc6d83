#include "src/orders/http_order_sender.hpp"

#include "src/engines/error.hpp"
#include "src/engines/order_call.hpp"
#include "src/orders/error.hpp"

namespace cicadahatch::orders {

namespace {

engines::order_request to_request(const order& order, fencing_number number) {
    engines::order_request request;
    request.kind = order.kind;
    request.model = order.model;
    request.version = order.version;
    request.adapter = order.adapter;
    request.role = order.role;
    request.fencing = number;
    return request;
}

errc to_order_error(const std::error_code& error) {
    if (error == engines::errc::too_late) {
        return errc::too_late;
    }
    if (error == engines::errc::not_reached) {
        return errc::unreachable;
    }
    if (error == engines::errc::stale_fencing) {
        return errc::stale_fencing;
    }
    return engines::is_known_not_executed(error) ? errc::refused : errc::outcome_unknown;
}

} // namespace

result<void> http_order_sender::send(const order& order, fencing_number number,
                                     time_point not_after) {
    const auto endpoint = http::parse_endpoint(order.address);
    if (!endpoint) {
        return failure(errc::unreachable);
    }
    const auto outcome = engines::send_order(*endpoint, to_request(order, number), time_, not_after,
                                             response_timeout_);
    if (!outcome) {
        return failure(to_order_error(outcome.error()));
    }
    return {};
}

} // namespace cicadahatch::orders
