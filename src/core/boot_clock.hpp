#pragma once

#include "src/core/clock.hpp"

#include <ctime>

namespace cicadahatch {

/// \brief A clock that goes on while the machine is suspended, for times agreed on with others.
class boot_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override {
        timespec read{};
        // Fails only for a clock that the kernel does not have; Linux has this one since 2.6.39.
        static_cast<void>(clock_gettime(CLOCK_BOOTTIME, &read));
        return time_point{std::chrono::seconds{read.tv_sec} +
                          std::chrono::nanoseconds{read.tv_nsec}};
    }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

} // namespace cicadahatch
