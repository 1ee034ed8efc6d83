#include "src/orders/http_order_sender.hpp"

#include "src/engines/error.hpp"
#include "src/engines/order_call.hpp"
#include "src/orders/error.hpp"

namespace cicadahatch::orders {

namespace {

engines::order_request to_request(const order& sent, fencing_number number) {
    engines::order_request asked;
    asked.kind = sent.kind;
    asked.model = sent.model;
    asked.version = sent.version;
    asked.adapter = sent.adapter;
    asked.role = sent.role;
    asked.fencing = number;
    return asked;
}

errc to_order_error(const std::error_code& failed) {
    if (failed == engines::errc::too_late) {
        return errc::too_late;
    }
    if (failed == engines::errc::not_reached) {
        return errc::unreachable;
    }
    if (failed == engines::errc::stale_fencing) {
        return errc::stale_fencing;
    }
    return engines::is_known_not_executed(failed) ? errc::refused : errc::outcome_unknown;
}

} // namespace

result<void> http_order_sender::send(const order& sent, fencing_number number,
                                     time_point not_after) {
    const auto place = http::parse_endpoint(sent.address);
    if (!place) {
        return failure(errc::unreachable);
    }
    const auto answer =
        engines::send_order(*place, to_request(sent, number), time_, not_after, longest_order_);
    if (!answer) {
        return failure(to_order_error(answer.error()));
    }
    return {};
}

} // namespace cicadahatch::orders
