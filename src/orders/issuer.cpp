#include "src/orders/issuer.hpp"

#include "src/core/random.hpp"
#include "src/orders/constants.hpp"
#include "src/orders/error.hpp"
#include "src/store/error.hpp"
#include "src/store/read_back.hpp"

#include <glog/logging.h>

namespace cicadahatch::orders {

namespace {

constexpr double seconds_per_minute = 60.0;

} // namespace

issuer::issuer(store::key_value_store& kept, const clock& time, const cell_id& cell,
               const daemon_id& self, const issuer_limits& limits)
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
    const auto taken = store::swap_with_read_back(kept_, key_, {}, value, *lease);
    if (!taken || !taken->is_swapped) {
        static_cast<void>(kept_.revoke_lease(*lease));
        return taken ? std::error_code{} : taken.error();
    }
    held_ = issuer_lease{fencing_number{taken->at.value()}, *lease, time_.now(),
                         asked_at + limits_.lease};
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
        if (left.error() == store::errc::lease_expired) {
            held_.reset();
        }
        return left.error();
    }
    held_->valid_until = asked_at + limits_.lease;
    renew_at_ = asked_at + limits_.lease / renewals_per_lease;
    return {};
}

bool issuer::try_reserve(const order& due) {
    return due.kind == order_kind::set_role || try_take(loads_, time_.now());
}

void issuer::set_loads_per_minute(double rate) {
    refill(loads_, time_.now());
    loads_.per_second = rate / seconds_per_minute;
}

std::optional<order_permit> issuer::admit(const order& due) {
    if (!held_ || !may_send(*held_, limits_, due.checks_fencing, time_.now())) {
        return std::nullopt;
    }
    if (!try_reserve(due)) {
        return std::nullopt;
    }
    return order_permit{held_->number, send_deadline(*held_, limits_)};
}

void issuer::record_outcome(const order_permit& used, const std::error_code& outcome) {
    if (outcome == errc::stale_fencing && held_ && held_->number == used.number) {
        LOG(WARNING) << "orders: another daemon issues for " << key_;
        held_.reset();
    }
}

void issuer::release() {
    if (held_) {
        static_cast<void>(kept_.revoke_lease(held_->lease));
        held_.reset();
    }
}

} // namespace cicadahatch::orders
