#pragma once

#include "src/discovery/registry_feed.hpp"
#include "src/rpc/messages.hpp"

namespace cicadahatch::gateway {

/// \returns the message that relays a delta to other daemons. A delta too large to send to many
/// subscribers becomes a gap, and the subscribers read the store themselves.
[[nodiscard]] rpc::registry_look to_message(const discovery::store_delta& delta);

[[nodiscard]] discovery::store_delta to_delta(const rpc::registry_look& message);

/// \returns the message that passes on a configuration which the store has lost
[[nodiscard]] rpc::configuration_shard to_message(const store::entry& configuration);

[[nodiscard]] store::entry to_entry(const rpc::configuration_shard& message);

} // namespace cicadahatch::gateway
