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

issuer::issuer(store::key_value_store& store, const clock& time, const cell_id& cell,
               const daemon_id& self, const issuer_limits& limits)
    : store_(store), time_(time), key_(issuer_prefix + cell.str()), self_(self),
      limits_(limits), loads_{limits.loads_per_minute / seconds_per_minute, 1.0, 1.0, time.now()} {}

std::error_code issuer::tick() {
    if (lease_ && time_.now() >= lease_->valid_until) {
        LOG(WARNING) << "orders: lease of " << key_ << " has expired";
        lease_.reset();
    }
    return lease_ ? renew() : acquire();
}

std::error_code issuer::acquire() {
    const auto current = store_.get(key_);
    if (!current) {
        return current.error();
    }
    if (*current) {
        return {};
    }
    // The store's lease starts no earlier than the request was sent.
    const time_point requested_at = time_.now();
    const auto granted = store_.grant_lease(limits_.lease);
    if (!granted) {
        return granted.error();
    }
    const std::string value = self_.str() + "/" + unique_token();
    const auto swapped = store::swap_with_read_back(store_, key_, {}, value, *granted);
    if (!swapped || !swapped->is_swapped) {
        static_cast<void>(store_.revoke_lease(*granted));
        return swapped ? std::error_code{} : swapped.error();
    }
    lease_ = issuer_lease{fencing_number{swapped->at.value()}, *granted, time_.now(),
                          requested_at + limits_.lease, end_of_forgotten_leases(swapped->at)};
    renew_at_ = requested_at + limits_.lease / renewals_per_lease;
    LOG(INFO) << "orders: issuing for " << key_ << " with fencing number "
              << lease_->number.value();
    return {};
}

void issuer::set_generation(store::generation current, time_point known_since) {
    generation_ = current;
    generation_since_ = known_since;
}

time_point issuer::end_of_forgotten_leases(revision acquired_at) const {
    const store::generation current = store::generation_of(acquired_at);
    if (current.empty()) {
        return {};
    }
    return (current == generation_ ? generation_since_ : time_.now()) + limits_.lease;
}

std::error_code issuer::renew() {
    const time_point requested_at = time_.now();
    if (requested_at < renew_at_) {
        return {};
    }
    const auto remaining = store_.keep_alive(lease_->store_lease);
    if (!remaining) {
        if (remaining.error() == store::errc::lease_expired) {
            LOG(WARNING) << "orders: the store has no lease of " << key_ << " any more";
            lease_.reset();
        }
        return remaining.error();
    }
    lease_->valid_until = requested_at + limits_.lease;
    renew_at_ = requested_at + limits_.lease / renewals_per_lease;
    return {};
}

bool issuer::try_reserve(const order& order) {
    return order.kind == order_kind::set_role || try_take(loads_, time_.now());
}

void issuer::set_loads_per_minute(double rate) {
    refill(loads_, time_.now());
    loads_.per_second = rate / seconds_per_minute;
}

std::optional<order_permit> issuer::admit(const order& order) {
    if (!lease_ || !may_send(*lease_, limits_, order.checks_fencing, time_.now())) {
        return std::nullopt;
    }
    if (!try_reserve(order)) {
        return std::nullopt;
    }
    return order_permit{lease_->number, send_deadline(*lease_, limits_)};
}

void issuer::record_outcome(const order_permit& permit, const std::error_code& outcome) {
    if (outcome == errc::stale_fencing && lease_ && lease_->number == permit.number) {
        LOG(WARNING) << "orders: another daemon issues orders for " << key_;
        lease_.reset();
    }
}

void issuer::release() {
    if (lease_) {
        static_cast<void>(store_.revoke_lease(lease_->store_lease));
        lease_.reset();
    }
}

} // namespace cicadahatch::orders
