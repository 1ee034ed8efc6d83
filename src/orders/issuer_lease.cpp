#include "src/orders/issuer_lease.hpp"

namespace cicadahatch::orders {

time_point send_deadline(const issuer_lease& held, const issuer_limits& limits) {
    return held.valid_until - limits.margin;
}

time_point earliest_unfenced_send(const issuer_lease& held, const issuer_limits& limits) {
    return held.acquired_at + limits.lease + limits.connection_idle_timeout +
           limits.max_order_duration;
}

bool may_send(const issuer_lease& held, const issuer_limits& limits, bool checks_fencing,
              time_point now) {
    if (now >= send_deadline(held, limits)) {
        return false;
    }
    return checks_fencing || now >= earliest_unfenced_send(held, limits);
}

} // namespace cicadahatch::orders
