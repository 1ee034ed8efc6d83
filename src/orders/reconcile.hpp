#pragma once

#include "src/orders/order.hpp"
#include "src/settings/service.hpp"

#include <vector>

namespace cicadahatch::orders {

/// \brief What configuration wants of one engine.
struct desired_engine {
    backend_id id;
    std::string address;
    backend_role role = backend_role::decode;
    model_id model;
    std::string version; ///< empty: any
    std::vector<std::string> adapters;
    bool checks_fencing = true;
};

/// \brief What an engine last reported of itself.
struct observed_engine {
    backend_id id;
    backend_role role = backend_role::decode;
    model_id model;
    std::string version;
    std::vector<std::string> adapters;
    bool is_leaving = false;
};

/// \returns the engines of the model services, in the services' order; an engine shared by several
/// services holds the adapters of all of them, and ignores fencing numbers if one of them says so
[[nodiscard]] std::vector<desired_engine>
desired_engines(const std::vector<settings::service>& services);

/// \brief Orders that bring each engine one step nearer to what is wanted. Pure.
///
/// At most one order an engine: first the model, then its role, then an adapter. An engine that
/// has not reported or is leaving gets none.
[[nodiscard]] std::vector<order> reconcile(const std::vector<desired_engine>& desired,
                                           const std::vector<observed_engine>& observed);

} // namespace cicadahatch::orders
