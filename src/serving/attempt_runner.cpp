#include "src/serving/attempt_runner.hpp"

#include "src/engines/calls.hpp"
#include "src/engines/constants.hpp"
#include "src/engines/decode_stream.hpp"
#include "src/engines/error.hpp"

namespace cicadahatch::serving {

namespace {

engines::prefill_request to_prefill(const attempt_plan& plan) {
    return {plan.attempt, plan.model, plan.prompt, plan.generated, plan.priority};
}

engines::decode_request to_decode(const attempt_plan& plan, const std::string& kv_handle) {
    engines::decode_request asked;
    asked.attempt = plan.attempt;
    asked.model = plan.model;
    asked.kv_source = plan.prefill;
    asked.kv_handle = kv_handle;
    asked.position = plan.position;
    asked.max_tokens = plan.max_tokens;
    asked.priority = plan.priority;
    return asked;
}

template <class What>
void report(const running_attempt& attempt, What what) {
    attempt.events->push({attempt.plan.attempt.number, std::move(what)});
}

void relay(const running_attempt& attempt, engines::decode_stream& stream) {
    while (!attempt.is_abandoned) {
        auto next = stream.next();
        if (!next) {
            return report(attempt, attempt_failed{next.error(), true});
        }
        if (next->is_end) {
            return report(attempt, stream_ended{});
        }
        report(attempt, token_received{std::move(*next)});
    }
}

void run(const running_attempt& attempt) {
    const attempt_plan& plan = attempt.plan;
    const auto kept = engines::prefill(plan.prefill, to_prefill(plan), engines::prefill_timeout);
    if (!kept) {
        return report(attempt, attempt_failed{kept.error(), false});
    }
    if (attempt.is_abandoned) {
        return;
    }
    report(attempt, prefill_done{kept->prompt_tokens, kept->cached_tokens});
    auto stream = engines::decode_stream::open(plan.decode, to_decode(plan, kept->kv_handle),
                                               engines::decode_head_timeout);
    if (!stream) {
        return report(attempt, attempt_failed{stream.error(), true});
    }
    relay(attempt, *stream);
}

} // namespace

std::shared_ptr<running_attempt> attempt_runner::start(attempt_plan plan,
                                                       std::shared_ptr<event_queue> events) {
    auto attempt = std::make_shared<running_attempt>();
    attempt->plan = std::move(plan);
    attempt->events = std::move(events);
    workers_.start([attempt] { run(*attempt); });
    return attempt;
}

void attempt_runner::abandon(running_attempt& attempt) {
    if (attempt.is_abandoned.exchange(true)) {
        return;
    }
    cancels_.cancel(attempt.plan.prefill, attempt.plan.attempt);
    cancels_.cancel(attempt.plan.decode, attempt.plan.attempt);
}

} // namespace cicadahatch::serving
