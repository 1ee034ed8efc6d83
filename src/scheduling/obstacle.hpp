#pragma once

#include <cstdint>

namespace cicadahatch::scheduling {

/// \brief Why a request has no place now.
enum class obstacle : std::uint8_t {
    none,
    prefill_busy, ///< every prefill engine is busy
    slots_full,   ///< no decode engine has a slot
    memory_full,  ///< none with a slot has the memory; a smaller request may have a place
    link_busy     ///< the transfer would wait longer than the KV is kept
};

/// \returns the name for log lines
[[nodiscard]] const char* to_string(obstacle why) noexcept;

} // namespace cicadahatch::scheduling
