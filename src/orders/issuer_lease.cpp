#include "src/orders/issuer_lease.hpp"

namespace cicadahatch::orders {

time_point send_deadline(const issuer_lease& lease, const issuer_limits& limits) {
    return lease.valid_until - limits.safety_margin;
}

time_point earliest_unfenced_send(const issuer_lease& lease, const issuer_limits& limits) {
    return lease.acquired_at + limits.lease + limits.connection_idle_timeout +
           limits.max_order_duration;
}

bool may_send(const issuer_lease& lease, const issuer_limits& limits, bool checks_fencing,
              time_point now) {
    if (now >= send_deadline(lease, limits) || now < lease.earliest_send) {
        return false;
    }
    return checks_fencing || now >= earliest_unfenced_send(lease, limits);
}

} // namespace cicadahatch::orders
