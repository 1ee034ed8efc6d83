#pragma once

#include "src/core/result.hpp"
#include "src/rpc/messages.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cicadahatch::rpc {

/// \brief Messages that travel together.
struct batch {
    std::uint64_t sequence = 0; ///< grows with each batch of a sender's incarnation
    std::vector<message> messages;
};

/// \returns the batch in MessagePack
[[nodiscard]] std::string encode_batch(const batch& sent);

/// \brief Reads a batch from bytes that anyone may have written.
/// Messages of a kind that this build does not know are skipped, and so are fields that a newer
/// build has appended to a message.
/// \returns the batch, errc::malformed, or errc::too_large
[[nodiscard]] result<batch> decode_batch(std::string_view bytes);

} // namespace cicadahatch::rpc
