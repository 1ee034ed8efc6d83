#pragma once

#include <cstddef>
#include <string_view>

namespace cicadahatch::rpc::internal {

/// Where links are opened on a peer's listener.
inline constexpr std::string_view link_uri = "/link";

/// Where JSON-RPC calls are answered on a peer's listener.
inline constexpr std::string_view json_rpc_uri = "/jsonrpc";

/// Bytes of a WebSocket frame's head for a short and a longer payload, and of a client's mask.
inline constexpr std::size_t short_frame_head_bytes = 2;
inline constexpr std::size_t long_frame_head_bytes = 4;
inline constexpr std::size_t longest_frame_head_bytes = 10;
inline constexpr std::size_t mask_bytes = 4;

/// \returns the bytes of a frame's head, without mask
[[nodiscard]] constexpr std::size_t frame_head_bytes(std::size_t payload) noexcept {
    constexpr std::size_t longest_short = 125;
    constexpr std::size_t longest_long = 65'535;
    if (payload <= longest_short) {
        return short_frame_head_bytes;
    }
    return payload <= longest_long ? long_frame_head_bytes : longest_frame_head_bytes;
}

/// Bytes of a WebSocket upgrade and its answer, about; the path comes on top.
inline constexpr std::size_t upgrade_request_bytes = 180;
inline constexpr std::size_t upgrade_response_bytes = 129;

} // namespace cicadahatch::rpc::internal
