#include "src/orders/tenure.hpp"

namespace cicadahatch::orders {

time_point send_limit(const tenure& held, const issuer_limits& limits) {
    return held.valid_until - limits.margin;
}

time_point unfenced_start(const tenure& held, const issuer_limits& limits) {
    return held.acquired_at + limits.lease + limits.connection_idle + limits.longest_order;
}

bool may_send(const tenure& held, const issuer_limits& limits, bool checks_fencing,
              time_point now) {
    if (now >= send_limit(held, limits)) {
        return false;
    }
    return checks_fencing || now >= unfenced_start(held, limits);
}

} // namespace cicadahatch::orders
