#pragma once

#include <cstdint>

namespace cicadahatch::scheduling {

/// \brief Reason why a request can't be placed at present.
enum class obstacle : std::uint8_t {
    none,
    prefill_busy, ///< every prefill engine is busy
    slots_full,   ///< no decode engine has a slot
    memory_full,  ///< no engine with a free slot has the memory; a smaller request may fit
    link_busy     ///< the transfer would wait longer than the KV is retained
};

/// \returns the name for log lines
[[nodiscard]] const char* to_string(obstacle blocked_by) noexcept;

} // namespace cicadahatch::scheduling
