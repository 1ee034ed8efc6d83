#pragma once

#include "src/engines/messages.hpp"
#include "src/http/message.hpp"

namespace cicadahatch::engines::internal {

[[nodiscard]] http::request to_http(const prefill_request& request);
[[nodiscard]] http::request to_http(const decode_request& request);
[[nodiscard]] http::request to_http(const order_request& request);
[[nodiscard]] http::request to_cancel_request(const attempt_id& attempt);

} // namespace cicadahatch::engines::internal
