#pragma once

#include "src/forwarding/asio.hpp"
#include "src/forwarding/request_context.hpp"

#include <chrono>
#include <optional>

namespace cicadahatch::forwarding {

/// \brief Whether a request is within its team's usage cap.
struct usage_decision {
    enum class outcome : std::uint8_t {
        granted,
        exceeded,   ///< the cap has no room for the request
        unavailable ///< nobody who may grant it was reached
    };
    outcome result = outcome::granted;
    /// When to come back; empty: the request exceeds the cap at any time.
    std::optional<std::chrono::milliseconds> retry_after;
    std::uint64_t units = 0;      ///< taken for the request
    bool is_from_account = false; ///< taken from the team's account, to which unused units return
};

/// \brief Counts requests toward the usage caps of their teams, over all daemons.
class usage_service {
public:
    usage_service() = default;
    usage_service(const usage_service&) = delete;
    usage_service& operator=(const usage_service&) = delete;
    usage_service(usage_service&&) = delete;
    usage_service& operator=(usage_service&&) = delete;
    virtual ~usage_service() = default;

    /// \brief Takes the units of a request, or waits briefly for the decision.
    [[nodiscard]] virtual asio::awaitable<usage_decision> take(request_context_ptr request) = 0;
    /// \brief Returns the units of a request that no backend server has received.
    virtual void give_back(const request_context& request, const usage_decision& decision) = 0;
};

} // namespace cicadahatch::forwarding
