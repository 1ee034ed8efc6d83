#pragma once

#include "src/forwarding/gateway_state.hpp"

namespace cicadahatch::forwarding {

/// \brief Whether the process of a backend server is running.
enum class process_state : std::uint8_t {
    running, ///< it accepts connections
    ended,   ///< its VM refuses connections: no process listens
    unknown  ///< no answer, as when the network is partitioned
};

[[nodiscard]] const char* to_string(process_state state) noexcept;

/// \brief Opens a connection to find out whether the process of a backend server is running.
/// A lost connection alone does not tell a crash from a network failure.
[[nodiscard]] asio::awaitable<process_state> probe_process(gateway_state& state,
                                                           discovery::backend target);

} // namespace cicadahatch::forwarding
