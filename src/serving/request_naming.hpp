#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/http/message.hpp"

#include <atomic>

namespace cicadahatch::serving {

/// \brief Names requests uniquely over all daemons and their restarts.
class request_naming {
public:
    request_naming(const daemon_id& self, incarnation started)
        : prefix_(self.str() + "-" + std::to_string(started.value()) + "-") {}

    /// \returns a new name
    [[nodiscard]] request_id next() { return request_id{prefix_ + std::to_string(++count_)}; }

private:
    std::string prefix_;
    std::atomic<std::uint64_t> count_{0};
};

/// \returns the caller's own X-Request-Id if it is a printable name of allowed length, else the
/// given one
[[nodiscard]] request_id echoed_id(const http::request& received, const request_id& own);

} // namespace cicadahatch::serving
