#pragma once

#include "src/engines/messages.hpp"
#include "src/http/exchange.hpp"
#include "src/metrics/request_observation.hpp"
#include "src/serving/answer_assembler.hpp"
#include "src/serving/answer_writer.hpp"
#include "src/serving/completion_request.hpp"
#include "src/serving/serving_context.hpp"
#include "src/settings/service.hpp"

#include <memory>
#include <optional>

namespace cicadahatch::serving {

/// \brief The life of one completion, from its checked request to the last byte of its answer.
///
/// It runs on the worker thread that owns the caller's connection; engines are spoken to on other
/// threads, whose events it takes in. However it ends, nothing stays held for it: the grant is
/// released and an attempt that is not over is cancelled at both engines.
class completion_session {
public:
    completion_session(serving_context& shared, http::exchange& call, request_id request,
                       settings::service service, completion_request asked);

    /// \brief Answers the caller, or notes that it has gone.
    void run();

    /// \brief Answers the caller with a refusal, in place of run().
    void refuse(const problem& refusal);

private:
    /// How one attempt ended.
    enum class attempt_end : std::uint8_t { complete, caller_gone, failed };

    [[nodiscard]] rpc::acquire to_acquire() const;
    [[nodiscard]] attempt_plan to_plan(const rpc::granted& held) const;
    [[nodiscard]] bool run_attempts();
    [[nodiscard]] std::optional<rpc::granted> wait_for_grant();
    [[nodiscard]] attempt_end run_attempt(const rpc::granted& held);
    [[nodiscard]] attempt_end follow(const running_attempt& attempt, duration patience);
    [[nodiscard]] std::optional<attempt_end> take_in(const attempt_event& event);
    [[nodiscard]] std::optional<attempt_end> on(const prefill_done& done);
    [[nodiscard]] std::optional<attempt_end> on(const token_received& received);
    [[nodiscard]] std::optional<attempt_end> on(const stream_ended& ended);
    [[nodiscard]] std::optional<attempt_end> on(const attempt_failed& failed);
    [[nodiscard]] bool check_caller_if_due();
    [[nodiscard]] bool may_retry();
    void note_backend_news(const attempt_failed& failed);
    void note_token_time();
    void end_ticket(rpc::release_outcome ended);
    void fail(const problem& failure);
    void leave();
    void record(metrics::request_outcome ended);

    serving_context& shared_;
    request_id request_;
    settings::service service_;
    completion_request asked_;
    rank rank_;
    settings::rank_rule rule_;
    time_point arrived_;
    time_point deadline_;
    answer_writer writer_;
    answer_assembler assembler_;
    std::uint32_t attempt_ = 0;
    std::shared_ptr<grant_ticket> ticket_;
    rpc::granted held_;
    execution ran_ = execution::not_run;
    bool failed_in_decode_ = false;
    bool is_prefill_unused_ = false;
    std::uint32_t prompt_tokens_ = 0;
    std::uint32_t attempt_prefill_tokens_ = 0;
    time_point checked_;
    time_point last_token_;
    metrics::request_observation seen_;
};

} // namespace cicadahatch::serving
