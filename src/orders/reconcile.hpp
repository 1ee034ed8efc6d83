#pragma once

#include "src/orders/order.hpp"
#include "src/settings/service.hpp"

#include <vector>

namespace cicadahatch::orders {

/// \brief Configured state of one engine.
struct desired_engine {
    backend_id id;
    std::string address;
    backend_role role = backend_role::decode;
    model_id model;
    std::string version; ///< empty accepts any version
    std::vector<std::string> adapters;
    bool checks_fencing = true;
};

/// \brief State that an engine last reported.
struct observed_engine {
    backend_id id;
    backend_role role = backend_role::decode;
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    bool is_leaving = false;
};

/// \returns the desired state of all engines of model services, in the order of the services. An
/// engine shared by several services gets the adapters of all of them, and counts as ignoring
/// fencing numbers if any of them says so.
[[nodiscard]] std::vector<desired_engine>
desired_engines(const std::vector<settings::service>& services);

/// \brief Computes the next order for each engine that differs from its desired state. Pure.
///
/// At most one order per engine: the model first, then the role, then an adapter. An engine that
/// has not reported or is leaving gets none.
[[nodiscard]] std::vector<order> reconcile(const std::vector<desired_engine>& desired,
                                           const std::vector<observed_engine>& observed);

} // namespace cicadahatch::orders
