#pragma once

#include "src/discovery/registry_feed.hpp"
#include "src/rpc/messages.hpp"

namespace cicadahatch::gateway {

/// \returns the message that tells other daemons of a delta. One with more bytes of changes than is
/// worth sending to many leaves a gap instead: the others read the store themselves.
[[nodiscard]] rpc::registry_look to_message(const discovery::store_delta& delta);

[[nodiscard]] discovery::store_delta to_delta(const rpc::registry_look& message);

} // namespace cicadahatch::gateway
