#pragma once

#include "src/rpc/batch.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::rpc::internal {

/// \returns [number of the kind, fields...]
[[nodiscard]] nlohmann::json message_json(const message& sent);

/// \returns [sequence, [messages...]]
[[nodiscard]] nlohmann::json batch_json(const batch& sent);

} // namespace cicadahatch::rpc::internal
