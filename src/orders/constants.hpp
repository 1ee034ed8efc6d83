#pragma once

#include <chrono>

namespace cicadahatch::orders {

/// Key prefix of the issuers' leases in the store; followed by the cell's identifier.
inline constexpr const char* issuer_prefix = "cicadahatch/orders/";

/// Number of renewals within the duration of a lease.
inline constexpr int renewals_per_lease = 3;

} // namespace cicadahatch::orders
