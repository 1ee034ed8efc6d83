#pragma once

#include "src/discovery/registry_feed.hpp"
#include "src/rpc/messages.hpp"

namespace cicadahatch::gateway {

/// \returns the message that relays a delta to other daemons. A delta too large to send to many
/// subscribers becomes a gap, and the subscribers read the store themselves.
[[nodiscard]] rpc::registry_look to_message(const discovery::store_delta& delta);

[[nodiscard]] discovery::store_delta to_delta(const rpc::registry_look& message);

} // namespace cicadahatch::gateway
