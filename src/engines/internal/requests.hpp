#pragma once

#include "src/engines/messages.hpp"
#include "src/http/message.hpp"

namespace cicadahatch::engines::internal {

[[nodiscard]] http::request to_http(const prefill_request& asked);
[[nodiscard]] http::request to_http(const decode_request& asked);
[[nodiscard]] http::request to_http(const order_request& asked);
[[nodiscard]] http::request to_cancel(const attempt_id& attempt);

} // namespace cicadahatch::engines::internal
