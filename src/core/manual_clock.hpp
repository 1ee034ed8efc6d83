#pragma once

#include "src/core/clock.hpp"

#include <atomic>

namespace cicadahatch {

/// \brief A clock that moves only when told to. It may be read from several threads.
class manual_clock final : public clock {
public:
    [[nodiscard]] time_point now() const override { return time_point{elapsed_.load()}; }
    [[nodiscard]] wall_time wall_now() const override {
        return wall_time{std::chrono::duration_cast<wall_time::duration>(elapsed_.load())};
    }

    /// \brief Moves both clocks forward.
    /// \param step the time that passes; not negative
    void advance(duration step) { elapsed_ = elapsed_.load() + step; }

private:
    std::atomic<duration> elapsed_{std::chrono::hours{1}};
};

} // namespace cicadahatch
