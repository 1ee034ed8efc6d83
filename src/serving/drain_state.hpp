#pragma once

#include <atomic>

namespace cicadahatch::serving {

/// \brief Whether this daemon still takes new work.
class drain_state {
public:
    [[nodiscard]] bool is_draining() const noexcept { return is_draining_.load(); }
    void begin() noexcept { is_draining_ = true; }

private:
    std::atomic<bool> is_draining_{false};
};

} // namespace cicadahatch::serving
