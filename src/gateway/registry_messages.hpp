#pragma once

#include "src/discovery/registry_feed.hpp"
#include "src/rpc/messages.hpp"

namespace cicadahatch::gateway {

/// \returns the message that tells other daemons of a look. One with more bytes of changes than is
/// worth sending to many leaves a gap instead: the others read the store themselves.
[[nodiscard]] rpc::registry_look to_message(const discovery::store_delta& look);

[[nodiscard]] discovery::store_delta to_look(const rpc::registry_look& heard);

} // namespace cicadahatch::gateway
