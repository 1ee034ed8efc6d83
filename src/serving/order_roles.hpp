#pragma once

#include "src/orders/order.hpp"
#include "src/scheduling/role_change.hpp"
#include "src/serving/backend_directory.hpp"
#include "src/serving/order_cell.hpp"
#include "src/settings/daemon_settings.hpp"

#include <map>
#include <optional>

namespace cicadahatch::serving {

/// \brief What a home remembers of its cell's pools.
struct role_memory {
    scheduling::role_balance balance;
    time_point observed_at;
    std::map<backend_id, backend_role> reported; ///< roles that the engines last told
};

/// \returns the memory of a new home. It counts as if a role had just changed, so that a change of
/// home brings no change of role sooner than the rule's spacing.
[[nodiscard]] role_memory begin_roles(time_point now);

/// \returns the hysteresis of role changes
[[nodiscard]] scheduling::role_change_policy role_rule_of(const settings::order_rules& rules);

/// \brief Takes in the use of the pools and the engines' reported roles. A role that changes
/// starts the spacing, whoever ordered it.
void observe_roles(role_memory& memory, const scheduling::role_change_policy& rule,
                   const order_cell& cell, time_point now);

/// \returns the order for the least busy engine of the pool that gives one, or nothing
/// \param cell whose services allow the change
[[nodiscard]] std::optional<orders::order> role_order(const role_memory& memory,
                                                      const scheduling::role_change_policy& rule,
                                                      const order_cell& cell,
                                                      const service_map& services, time_point now);

} // namespace cicadahatch::serving
