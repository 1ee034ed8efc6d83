#pragma once

#include "src/core/clock.hpp"
#include "src/metrics/constants.hpp"

#include <array>
#include <cstdint>
#include <mutex>

namespace cicadahatch::metrics {

/// \brief Requests of a window: all that count against the objective, and those that met it.
struct window_count {
    std::uint64_t requests = 0;
    std::uint64_t good = 0;

    friend bool operator==(const window_count&, const window_count&) = default;
};

/// \brief Counts requests in a ring of time steps. Safe for use by several threads.
class window_counter {
public:
    void record(time_point now, bool is_good);

    /// \param window at most long_window
    /// \returns the count of the steps that began within the window
    [[nodiscard]] window_count over(time_point now, duration window) const;

private:
    struct step {
        std::int64_t number = -1;
        window_count counted;
    };
    static constexpr std::size_t step_count =
        static_cast<std::size_t>(long_window / window_step) + 1;

    mutable std::mutex mutex_;
    std::array<step, step_count> steps_{};
};

} // namespace cicadahatch::metrics
