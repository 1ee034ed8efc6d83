#pragma once

#include <cstdint>

namespace cicadahatch::test_support {

/// \brief Reserves a loopback port until this process ends.
///
/// A bound socket holds the port without listening, so the kernel gives it neither to another bind
/// nor to an outgoing connection. Listeners with SO_REUSEADDR can use it, also repeatedly.
[[nodiscard]] std::uint16_t reserve_port();

} // namespace cicadahatch::test_support
