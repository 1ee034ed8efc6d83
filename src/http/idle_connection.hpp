#pragma once

namespace cicadahatch::http {

/// \param descriptor of a connection on which no response is expected
/// \returns whether the connection is still open and has received nothing
[[nodiscard]] bool is_idle_alive(int descriptor) noexcept;

} // namespace cicadahatch::http
