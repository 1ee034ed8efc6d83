#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cicadahatch::rpc::internal {

/// \brief Acknowledges the one batch under way on a connection whose sender offered to compress:
/// MessagePack's true, which no sequence number looks like. All after the first are to come
/// compressed.
inline constexpr std::string_view short_acknowledgement{"\xc3"};

/// \returns the encoded acknowledgement of a batch
[[nodiscard]] std::string encode_acknowledgement(std::uint64_t sequence);

/// \returns the sequence number of the batch taken, or nothing if the bytes are malformed
[[nodiscard]] std::optional<std::uint64_t> decode_acknowledgement(std::string_view bytes);

} // namespace cicadahatch::rpc::internal
