#pragma once

#include "src/http/exchange.hpp"
#include "src/serving/drain_state.hpp"
#include "src/serving/plain_handler.hpp"
#include "src/serving/serving_context.hpp"

#include <functional>

namespace cicadahatch::serving {

/// \brief Answers the requests of the callers' listener.
///
/// POST /v1/completions goes to model engines, /services/NAME/... to plain services; GET /live and
/// GET /ready are for the balancer.
class caller_handler {
public:
    /// \param free_workers how many worker threads of the listener are free now
    caller_handler(serving_context& shared, plain_handler& plain, const drain_state& drain,
                   std::function<int()> free_workers)
        : shared_(shared), plain_(plain), drain_(drain), free_workers_(std::move(free_workers)) {}

    /// \brief Answers one request, or notes that its caller has gone.
    void handle(http::exchange& call);

    /// \returns whether the balancer may send callers to this daemon
    [[nodiscard]] bool is_ready() const;

private:
    void complete(http::exchange& call, const request_id& request);
    [[nodiscard]] bool refuse_if_unable(http::exchange& call, const request_id& request);
    [[nodiscard]] bool is_overloaded() const;

    serving_context& shared_;
    plain_handler& plain_;
    const drain_state& drain_;
    std::function<int()> free_workers_;
};

} // namespace cicadahatch::serving
