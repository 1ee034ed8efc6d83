#pragma once

#include "src/core/result.hpp"
#include "src/engines/messages.hpp"
#include "src/http/client_pool.hpp"

#include <chrono>

namespace cicadahatch::engines {

/// \brief Runs a prefill and waits for its end.
/// \returns the kept KV cache, or an error of engines::errc; see is_known_not_executed()
[[nodiscard]] result<prefill_reply> prefill(const http::endpoint& place,
                                            const prefill_request& asked,
                                            std::chrono::milliseconds timeout);

/// \brief Frees everything held for an attempt and for earlier ones of the same request, also if
/// the attempt reaches the engine only after its cancel.
[[nodiscard]] result<void> cancel(http::client_pool& pool, const http::endpoint& place,
                                  const attempt_id& attempt);

/// \brief Asks a backend server for its load.
[[nodiscard]] result<load_report> fetch_load(http::client_pool& pool, const http::endpoint& place);

/// \brief Asks an engine which prompt prefixes it holds.
/// \returns the whole content; an error if it is longer than max_cache_response_bytes
[[nodiscard]] result<cached_prefix_set> fetch_cached_prefixes(http::client_pool& pool,
                                                              const http::endpoint& place);

} // namespace cicadahatch::engines
