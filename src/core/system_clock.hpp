#pragma once

#include "src/core/clock.hpp"

namespace cicadahatch {

/// \brief The operating system's clocks.
class system_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

} // namespace cicadahatch
