#include "src/orders/issuer.hpp"

#include "src/core/random.hpp"
#include "src/orders/constants.hpp"
#include "src/orders/error.hpp"
#include "src/platform/error.hpp"
#include "src/platform/read_back.hpp"

#include <glog/logging.h>

namespace cicadahatch::orders {

namespace {

constexpr double seconds_per_minute = 60.0;

} // namespace

issuer::issuer(platform::store& kept, const clock& time, const cell_id& cell, const daemon_id& self,
               const issuer_limits& limits)
    : kept_(kept), time_(time), key_(issuer_prefix + cell.str()), self_(self),
      limits_(limits), loads_{limits.loads_per_minute / seconds_per_minute, 1.0, 1.0, time.now()} {}

std::error_code issuer::tick() {
    if (held_ && time_.now() >= held_->valid_until) {
        LOG(WARNING) << "orders: lease of " << key_ << " has lapsed";
        held_.reset();
    }
    return held_ ? renew() : acquire();
}

std::error_code issuer::acquire() {
    const auto current = kept_.get(key_);
    if (!current) {
        return current.error();
    }
    if (*current) {
        return {};
    }
    // The lease began at the store no earlier than the request was sent.
    const time_point asked_at = time_.now();
    const auto lease = kept_.grant_lease(limits_.lease);
    if (!lease) {
        return lease.error();
    }
    const std::string value = self_.str() + "/" + unique_token();
    const auto taken = platform::swap_with_read_back(kept_, key_, {}, value, *lease);
    if (!taken || !taken->is_swapped) {
        static_cast<void>(kept_.revoke_lease(*lease));
        return taken ? std::error_code{} : taken.error();
    }
    held_ =
        tenure{fencing_number{taken->at.value()}, *lease, time_.now(), asked_at + limits_.lease};
    renew_at_ = asked_at + limits_.lease / renewals_per_lease;
    LOG(INFO) << "orders: issuing for " << key_ << " under number " << held_->number.value();
    return {};
}

std::error_code issuer::renew() {
    const time_point asked_at = time_.now();
    if (asked_at < renew_at_) {
        return {};
    }
    const auto left = kept_.keep_alive(held_->lease);
    if (!left) {
        if (left.error() == platform::errc::lease_expired) {
            held_.reset();
        }
        return left.error();
    }
    held_->valid_until = asked_at + limits_.lease;
    renew_at_ = asked_at + limits_.lease / renewals_per_lease;
    return {};
}

bool issuer::try_reserve(const order& due) {
    return due.kind == order_kind::set_role || platform::try_take(loads_, time_.now());
}

std::size_t issuer::issue(const std::vector<order>& due, order_sender& sender) {
    std::size_t carried_out = 0;
    for (const order& next : due) {
        if (!held_ || !may_send(*held_, limits_, next.checks_fencing, time_.now())) {
            continue;
        }
        if (!try_reserve(next)) {
            continue;
        }
        const auto sent = sender.send(next, held_->number, send_limit(*held_, limits_));
        if (sent) {
            ++carried_out;
        } else if (sent.error() == errc::stale_fencing) {
            LOG(WARNING) << "orders: another daemon issues for " << key_;
            held_.reset();
        }
    }
    return carried_out;
}

void issuer::release() {
    if (held_) {
        static_cast<void>(kept_.revoke_lease(held_->lease));
        held_.reset();
    }
}

} // namespace cicadahatch::orders
