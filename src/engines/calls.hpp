#pragma once

#include "src/core/result.hpp"
#include "src/engines/messages.hpp"
#include "src/http/client_pool.hpp"

#include <chrono>

namespace cicadahatch::engines {

/// \brief Runs a prefill and waits for its completion.
/// \returns the retained KV cache, or an error of engines::errc; see is_known_not_executed()
[[nodiscard]] result<prefill_reply> prefill(const http::endpoint& endpoint,
                                            const prefill_request& request,
                                            std::chrono::milliseconds timeout);

/// \brief Releases all resources of an attempt and of earlier attempts of the same request, even if
/// the attempt reaches the engine after the cancel.
[[nodiscard]] result<void> cancel(http::client_pool& pool, const http::endpoint& endpoint,
                                  const attempt_id& attempt);

/// \brief Fetches the load report of a backend server.
[[nodiscard]] result<load_report> fetch_load(http::client_pool& pool,
                                             const http::endpoint& endpoint);

/// \brief Fetches the prompt prefixes cached by an engine.
/// \returns the complete set, or an error if the response exceeds max_cache_response_bytes
[[nodiscard]] result<cached_prefix_set> fetch_cached_prefixes(http::client_pool& pool,
                                                              const http::endpoint& endpoint);

} // namespace cicadahatch::engines
