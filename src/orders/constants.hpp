#pragma once

#include <chrono>

namespace cicadahatch::orders {

/// Keys of the issuers' leases begin with this; the cell's name follows.
inline constexpr const char* issuer_prefix = "cicadahatch/orders/";

/// Parts of the lease's time after which it is kept alive again.
inline constexpr int renewals_per_lease = 3;

} // namespace cicadahatch::orders
