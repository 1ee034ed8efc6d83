#pragma once

#include "src/orders/order_sender.hpp"
#include "src/orders/tenure.hpp"
#include "src/platform/store.hpp"
#include "src/platform/token_bucket.hpp"

#include <optional>
#include <string>
#include <vector>

namespace cicadahatch::orders {

/// \brief Issues the orders of one cell while it holds the cell's lease. Used by one thread.
class issuer {
public:
    /// \param kept,time outlive this object
    /// \param self named in the lease's key, for operators
    issuer(platform::store& kept, const clock& time, const cell_id& cell, const daemon_id& self,
           const issuer_limits& limits);

    /// \returns the tenure, or nothing while another daemon issues
    [[nodiscard]] const std::optional<tenure>& held() const noexcept { return held_; }

    /// \brief Takes the cell if it is free, or keeps the lease alive when that is due.
    /// Call it a few times a second.
    /// \returns the store's error, after which the caller pauses
    std::error_code tick();

    /// \brief Sends the orders that may be sent now, one after the other. The clock is read before
    /// each one; loads beyond the weight store's rate stay for a later call.
    /// \returns how many orders were carried out
    std::size_t issue(const std::vector<order>& due, order_sender& sender);

    /// \brief Gives the cell up at once, as in a graceful shutdown.
    void release();

private:
    std::error_code acquire();
    std::error_code renew();
    [[nodiscard]] bool try_reserve(const order& due);

    platform::store& kept_;
    const clock& time_;
    std::string key_;
    daemon_id self_;
    issuer_limits limits_;
    platform::token_bucket loads_;
    std::optional<tenure> held_;
    time_point renew_at_{};
};

} // namespace cicadahatch::orders
