#pragma once

#include "src/claims/claim_book.hpp"
#include "src/http/exchange.hpp"
#include "src/metrics/request_observation.hpp"
#include "src/serving/plain_call.hpp"
#include "src/serving/serving_context.hpp"
#include "src/serving/worker_group.hpp"

#include <atomic>
#include <memory>
#include <string>
#include <string_view>

namespace cicadahatch::serving {

/// Beginning of the paths of plain services.
inline constexpr std::string_view plain_path_prefix = "/services/";

/// \brief Answers requests to plain services, those that run at most once included.
///
/// The call to the backend server runs on a thread of its own, so that a caller that leaves is
/// noticed. A request that may not be repeated is claimed first; it is carried to its end and its
/// outcome recorded even if its caller has gone after it was sent.
class plain_handler {
public:
    plain_handler(serving_context& shared, claims::claim_book& claims)
        : shared_(shared), claims_(claims) {}

    /// \brief Answers one request, or notes that its caller has gone.
    /// \param is_overloaded requests that are not under the at-most-once rule are refused
    void handle(http::exchange& call, const request_id& request, bool is_overloaded);

private:
    /// A request on its way, shared by the caller's thread and the one that calls the server.
    struct job;

    [[nodiscard]] tl::expected<std::shared_ptr<job>, problem>
    prepare(const http::request& received, const request_id& request) const;
    void wait_for(http::exchange& call, job& running);
    [[nodiscard]] plain_answer run(const job& running);
    [[nodiscard]] plain_answer run_once(const job& running);
    [[nodiscard]] plain_answer run_claimed(const job& running, claims::permit held);
    void record(const job& ended, const plain_answer& answer);

    serving_context& shared_;
    claims::claim_book& claims_;
    worker_group workers_;
};

} // namespace cicadahatch::serving
