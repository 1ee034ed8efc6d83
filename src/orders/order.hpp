#pragma once

#include "src/core/identifiers.hpp"
#include "src/engines/messages.hpp"

#include <string>

namespace cicadahatch::orders {

using engines::order_kind;

/// \brief An order to an engine. Orders are idempotent.
struct order {
    backend_id engine;
    std::string address; ///< "host:port"
    order_kind kind = order_kind::load_model;
    model_id model;
    std::string version;
    std::string adapter;                      ///< for load_adapter
    backend_role role = backend_role::decode; ///< for set_role
    bool checks_fencing = true;               ///< whether the engine rejects stale fencing numbers
};

} // namespace cicadahatch::orders
