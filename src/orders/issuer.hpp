#pragma once

#include "src/core/token_bucket.hpp"
#include "src/orders/issuer_lease.hpp"
#include "src/orders/order.hpp"
#include "src/store/key_value_store.hpp"

#include <optional>
#include <string>
#include <system_error>

namespace cicadahatch::orders {

/// \brief Leave to send one order.
struct order_permit {
    fencing_number number;
    time_point not_after; ///< the order must not be written later than this
};

/// \brief Issues the orders of one cell while it holds the cell's lease. Used by one thread.
class issuer {
public:
    /// \param kept,time outlive this object
    /// \param self named in the lease's key, for operators
    issuer(store::key_value_store& kept, const clock& time, const cell_id& cell,
           const daemon_id& self, const issuer_limits& limits);

    /// \returns the issuer_lease, or nothing while another daemon issues
    [[nodiscard]] const std::optional<issuer_lease>& lease() const noexcept { return held_; }

    /// \brief Takes the cell if it is free, or keeps the lease alive when that is due.
    /// Call it a few times a second.
    /// \returns the store's error, after which the caller pauses
    std::error_code tick();

    /// \brief Sets this cell's part of the weight store's rate.
    void set_loads_per_minute(double rate);

    /// \brief Asks for leave to send an order now, which takes its part of the weight store's rate.
    /// \returns nothing while no issuer_lease is held, its time left is too short, engines that
    /// ignore fencing numbers may still be carrying out an order of the issuer before, or the rate
    /// is spent
    [[nodiscard]] std::optional<order_permit> admit(const order& due);

    /// \brief Takes in what became of an admitted order. An engine that has seen a higher number
    /// shows that another daemon issues; the issuer_lease of that number ends.
    void record_outcome(const order_permit& used, const std::error_code& outcome);

    /// \brief Gives the cell up at once, as in a graceful shutdown.
    void release();

private:
    std::error_code acquire();
    std::error_code renew();
    [[nodiscard]] bool try_reserve(const order& due);

    store::key_value_store& kept_;
    const clock& time_;
    std::string key_;
    daemon_id self_;
    issuer_limits limits_;
    token_bucket loads_;
    std::optional<issuer_lease> held_;
    time_point renew_at_{};
};

} // namespace cicadahatch::orders
