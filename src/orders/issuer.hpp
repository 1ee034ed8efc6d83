#pragma once

#include "src/core/token_bucket.hpp"
#include "src/orders/issuer_lease.hpp"
#include "src/orders/order.hpp"
#include "src/store/generation.hpp"
#include "src/store/key_value_store.hpp"

#include <optional>
#include <string>
#include <system_error>

namespace cicadahatch::orders {

/// \brief Permission to send one order.
struct order_permit {
    fencing_number number;
    time_point not_after; ///< deadline for writing the order
};

/// \brief Issues the orders of one cell while it holds the cell's lease. Not thread-safe.
class issuer {
public:
    /// \param store,time outlive this object
    /// \param self stored as the lease key's value, for operators
    issuer(store::key_value_store& store, const clock& time, const cell_id& cell,
           const daemon_id& self, const issuer_limits& limits);

    /// \returns the current lease, or nothing if none is held
    [[nodiscard]] const std::optional<issuer_lease>& lease() const noexcept { return lease_; }

    /// \brief Acquires the lease if it is free, or renews it when due. Call a few times per second.
    /// \returns the store's error, after which the caller should back off
    std::error_code tick();

    /// \brief Records since when this process has known a generation of the store. A lease won in
    /// it is not used for orders until leases of the generation before have ended.
    void set_generation(store::generation current, time_point known_since);

    /// \brief Sets this cell's share of the weight store's rate.
    void set_loads_per_minute(double rate);

    /// \brief Requests permission to send an order now. Load orders consume one token of the weight
    /// store's rate.
    /// \returns nothing if no lease is held, its remaining time is too short, an engine that
    /// ignores fencing numbers may still be executing an order of the previous issuer, or the rate
    /// is exhausted
    [[nodiscard]] std::optional<order_permit> admit(const order& order);

    /// \brief Records the outcome of an admitted order. errc::stale_fencing proves that another
    /// daemon issues orders, so the lease under which the order was sent is dropped.
    void record_outcome(const order_permit& permit, const std::error_code& outcome);

    /// \brief Revokes the lease at once, as in a graceful shutdown.
    void release();

private:
    std::error_code acquire();
    std::error_code renew();
    [[nodiscard]] bool try_reserve(const order& order);
    [[nodiscard]] time_point end_of_forgotten_leases(revision acquired_at) const;

    store::key_value_store& store_;
    const clock& time_;
    std::string key_;
    daemon_id self_;
    issuer_limits limits_;
    token_bucket loads_;
    std::optional<issuer_lease> lease_;
    time_point renew_at_{};
    store::generation generation_;
    time_point generation_since_{};
};

} // namespace cicadahatch::orders
