#pragma once

#include "src/core/result.hpp"
#include "src/store/key_value_store.hpp"

#include <string>
#include <string_view>

namespace cicadahatch::store::internal {

/// \brief Messages of etcd's v3 JSON gateway. Decoders return errc::protocol for a reply that
/// can't be understood.

[[nodiscard]] std::string encode_get(const std::string& key);
[[nodiscard]] std::string encode_list(const std::string& prefix);
[[nodiscard]] std::string encode_swap(const std::string& key, revision expected,
                                      const std::string& value, lease_id lease);
[[nodiscard]] std::string encode_erase(const std::string& key, revision expected);
[[nodiscard]] std::string encode_grant(std::chrono::seconds time_to_live);
[[nodiscard]] std::string encode_lease(lease_id lease);
[[nodiscard]] std::string encode_watch(const std::string& prefix, revision from);

[[nodiscard]] result<listing> decode_range(std::string_view body);
[[nodiscard]] result<swap_outcome> decode_txn(std::string_view body);
[[nodiscard]] result<lease_id> decode_grant(std::string_view body);
/// \returns the time left, or errc::lease_expired
[[nodiscard]] result<std::chrono::seconds> decode_keep_alive(std::string_view body);

/// \brief Decodes one line of a watch.
/// \param previous the revision from which this line continues
/// \returns the changes, or errc::compacted
[[nodiscard]] result<change_batch> decode_watch_line(std::string_view line, revision previous);

/// \brief Classifies an answer that is not a success.
/// \returns what the gateway's error code and text prove about a write
[[nodiscard]] std::error_code decode_failure(std::string_view body);

/// \returns the smallest key that begins with no such prefix; "\0" stands for no bound
[[nodiscard]] std::string end_of_prefix(std::string prefix);

} // namespace cicadahatch::store::internal
