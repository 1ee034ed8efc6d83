#pragma once

#include "src/orders/reconcile.hpp"
#include "src/serving/backend_directory.hpp"
#include "src/serving/order_cell.hpp"

#include <vector>

namespace cicadahatch::serving {

/// \returns whether every service of the model allows its engines to change their role
[[nodiscard]] bool allows_role_change(const service_map& services, const model_id& model);

/// \returns what configuration wants of the engines of a cell
[[nodiscard]] std::vector<orders::desired_engine> desired_in(const order_cell& cell,
                                                             const service_map& services);

/// \returns what the engines of a cell last reported. Left out: engines that have not reported,
/// don't answer, or don't tell what they hold.
[[nodiscard]] std::vector<orders::observed_engine> observed_in(const order_cell& cell);

/// \brief Orders that bring each engine of a cell one step nearer to what configuration wants.
/// Where roles may change, the reported role of an engine is the wanted one.
[[nodiscard]] std::vector<orders::order> orders_of(const order_cell& cell,
                                                   const service_map& services);

} // namespace cicadahatch::serving
