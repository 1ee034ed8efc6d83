#include "src/serving/completion_session.hpp"

#include "src/engines/error.hpp"
#include "src/serving/caller_rank.hpp"
#include "src/serving/constants.hpp"

#include <algorithm>
#include <glog/logging.h>

namespace cicadahatch::serving {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A prefill may take this many times its predicted time before it counts as stalled.
constexpr int prefill_patience = 4;

constexpr milliseconds retry_after_failure{1000};

std::uint32_t output_bound(const completion_request& asked, const settings::service& service) {
    const std::uint32_t bound = asked.max_tokens == 0 ? default_output_tokens : asked.max_tokens;
    return std::min(bound, service.max_output_tokens);
}

} // namespace

completion_session::completion_session(serving_context& shared, http::exchange& call,
                                       request_id request, settings::service service,
                                       completion_request asked)
    : shared_(shared), request_(std::move(request)), service_(std::move(service)),
      asked_(std::move(asked)), rank_(rank_of(service_, call.request())),
      rule_(rank_ == rank::urgent ? service_.urgent : service_.deferrable),
      arrived_(shared.time.now()), deadline_(arrived_ + first_token_patience * rule_.first_token),
      writer_(call, echoed_id(call.request(), request_), service_.name, asked_.is_streamed,
              shared.configured.sends_interim_responses),
      prompt_tokens_(shared.estimator.tokens(service_.model, asked_.prompt.size())),
      checked_(arrived_) {
    asked_.max_tokens = output_bound(asked_, service_);
    seen_.service = service_.name;
    seen_.team = service_.team;
    seen_.work_rank = rank_;
    seen_.first_token_target = rule_.first_token;
    seen_.between_tokens_target = rule_.between_tokens;
}

void completion_session::run() {
    {
        const std::lock_guard lock{shared_.retries.mutex};
        scheduling::record_request(shared_.retries.budget);
    }
    if (!run_attempts()) {
        return;
    }
    const bool is_there = writer_.finish(assembler_.text(), assembler_.position(), prompt_tokens_);
    record(is_there ? metrics::request_outcome::completed : metrics::request_outcome::canceled);
}

bool completion_session::run_attempts() {
    while (true) {
        ++attempt_;
        const auto held = wait_for_grant();
        if (!held) {
            return false;
        }
        switch (run_attempt(*held)) {
        case attempt_end::complete:
            return true;
        case attempt_end::caller_gone:
            leave();
            return false;
        case attempt_end::failed:
            break;
        }
        if (!may_retry()) {
            fail({errc::backend_failed, ran_, retry_after_failure, {}});
            return false;
        }
    }
}

rpc::acquire completion_session::to_acquire() const {
    rpc::acquire wanted;
    wanted.request = request_;
    wanted.attempt = attempt_number{attempt_};
    wanted.service = service_.name;
    wanted.model = service_.model;
    wanted.team = service_.team;
    wanted.work_rank = rank_;
    wanted.prompt_tokens = prompt_tokens_;
    wanted.generated_tokens = static_cast<std::uint32_t>(assembler_.position());
    wanted.expected_output_tokens = asked_.max_tokens - wanted.generated_tokens;
    if (attempt_ == 1) {
        const time_point now = shared_.time.now();
        wanted.waited = duration_cast<microseconds>(now - arrived_);
        wanted.gives_up_after = duration_cast<microseconds>(deadline_ - now);
    }
    wanted.first_token_target = rule_.first_token;
    wanted.between_tokens_target = rule_.between_tokens;
    wanted.prefix_hashes = prefix_hashes(asked_.prompt);
    wanted.prefix_block_tokens = tokens_of_block(asked_.prompt, prompt_tokens_);
    return wanted;
}

std::optional<rpc::granted> completion_session::wait_for_grant() {
    ticket_ = shared_.broker.acquire(to_acquire());
    while (true) {
        const auto answer = ticket_->wait_for(caller_check_period);
        if (answer && answer->has_value()) {
            return **answer;
        }
        if (answer) {
            problem refusal = answer->error();
            refusal.ran = ran_;
            fail(refusal);
            return std::nullopt;
        }
        if (!check_caller_if_due()) {
            leave();
            return std::nullopt;
        }
        if (shared_.time.now() >= deadline_ && attempt_ == 1) {
            fail({errc::deadline_unreachable, ran_, retry_after_failure, {}});
            return std::nullopt;
        }
    }
}

attempt_plan completion_session::to_plan(const rpc::granted& held) const {
    attempt_plan plan;
    plan.attempt = {request_, attempt_number{attempt_}};
    plan.model = service_.model;
    plan.prompt = asked_.prompt;
    plan.generated = assembler_.text();
    plan.position = assembler_.position();
    plan.max_tokens = asked_.max_tokens;
    plan.priority = rank_;
    if (const auto server = shared_.directory.backend(held.prefill_backend)) {
        plan.prefill = server->place;
    }
    if (const auto server = shared_.directory.backend(held.decode_backend)) {
        plan.decode = server->place;
    }
    return plan;
}

completion_session::attempt_end completion_session::run_attempt(const rpc::granted& held) {
    held_ = held;
    assembler_.begin_attempt(attempt_number{attempt_});
    is_prefill_unused_ = false;
    failed_in_decode_ = false;
    const auto events = std::make_shared<event_queue>();
    const auto attempt = shared_.attempts.start(to_plan(held), events);
    const duration patience = prefill_patience * held.predicted_first_token;
    const attempt_end ended = follow(*attempt, patience);
    if (ended == attempt_end::complete) {
        end_ticket(rpc::release_outcome::completed);
        return ended;
    }
    shared_.attempts.abandon(*attempt);
    if (is_prefill_unused_) {
        seen_.wasted_prefill_tokens += attempt_prefill_tokens_;
    }
    if (ended == attempt_end::failed) {
        end_ticket(failed_in_decode_ ? rpc::release_outcome::decode_failed
                                     : rpc::release_outcome::prefill_failed);
    }
    return ended;
}

completion_session::attempt_end completion_session::follow(const running_attempt& attempt,
                                                           duration patience) {
    const duration stall = shared_.configured.stall_timeout;
    time_point heard = shared_.time.now() + patience;
    while (true) {
        const auto event = attempt.events->pop_for(caller_check_period);
        if (!check_caller_if_due()) {
            return attempt_end::caller_gone;
        }
        if (!event) {
            if (shared_.time.now() - heard > stall) {
                ran_ = execution::unknown;
                return attempt_end::failed;
            }
            continue;
        }
        heard = shared_.time.now();
        if (const auto ended = take_in(*event)) {
            return *ended;
        }
    }
}

std::optional<completion_session::attempt_end>
completion_session::take_in(const attempt_event& event) {
    if (event.attempt != attempt_number{attempt_}) {
        return std::nullopt;
    }
    return std::visit([this](const auto& what) { return on(what); }, event.what);
}

std::optional<completion_session::attempt_end> completion_session::on(const prefill_done& done) {
    ran_ = execution::unknown;
    shared_.estimator.observe(service_.model, asked_.prompt.size(), done.prompt_tokens);
    prompt_tokens_ = done.prompt_tokens;
    attempt_prefill_tokens_ = done.prompt_tokens - std::min(done.cached_tokens, done.prompt_tokens);
    seen_.prefill_tokens += attempt_prefill_tokens_;
    is_prefill_unused_ = true;
    failed_in_decode_ = true;
    shared_.broker.prefill_finished(*ticket_, done.cached_tokens);
    return std::nullopt;
}

std::optional<completion_session::attempt_end>
completion_session::on(const token_received& received) {
    if (is_prefill_unused_) {
        is_prefill_unused_ = false;
        shared_.broker.first_token(*ticket_);
    }
    const std::uint64_t first = assembler_.position();
    const std::vector<std::string> tokens = assembler_.accept(received.frame);
    if (tokens.empty()) {
        return std::nullopt;
    }
    note_token_time();
    if (!writer_.deliver(first, tokens)) {
        return attempt_end::caller_gone;
    }
    return std::nullopt;
}

std::optional<completion_session::attempt_end> completion_session::on(const stream_ended& ended) {
    static_cast<void>(ended);
    // An end mark that overtakes frames would cut the answer short.
    return assembler_.has_gap() ? attempt_end::failed : attempt_end::complete;
}

std::optional<completion_session::attempt_end>
completion_session::on(const attempt_failed& failed) {
    if (failed.is_in_decode || !engines::is_known_not_executed(failed.error)) {
        ran_ = execution::unknown;
    }
    failed_in_decode_ = failed.is_in_decode;
    note_backend_news(failed);
    LOG_EVERY_N(WARNING, 100) << "serving: attempt failed: " << failed.error.message();
    return attempt_end::failed;
}

bool completion_session::check_caller_if_due() {
    const time_point now = shared_.time.now();
    if (now - checked_ < caller_check_period) {
        return true;
    }
    checked_ = now;
    return writer_.check_caller();
}

bool completion_session::may_retry() {
    if (attempt_ >= max_attempts) {
        return false;
    }
    const std::lock_guard lock{shared_.retries.mutex};
    return scheduling::take_retry(shared_.retries.budget);
}

void completion_session::note_backend_news(const attempt_failed& failed) {
    const backend_id& server = failed.is_in_decode ? held_.decode_backend : held_.prefill_backend;
    if (failed.error == engines::errc::not_reached) {
        shared_.directory.note_unreachable(server);
    }
    if (failed.error == engines::errc::leaving) {
        shared_.directory.note_leaving(server, {});
    }
}

void completion_session::note_token_time() {
    const time_point now = shared_.time.now();
    if (last_token_ == time_point{}) {
        seen_.first_token = now - arrived_;
    } else {
        seen_.between_tokens = std::max(seen_.between_tokens, now - last_token_);
    }
    last_token_ = now;
}

void completion_session::end_ticket(rpc::release_outcome ended) {
    const auto tokens = static_cast<std::uint32_t>(assembler_.position());
    shared_.broker.release(*ticket_, ended, tokens);
}

void completion_session::fail(const problem& failure) {
    end_ticket(rpc::release_outcome::caller_left);
    refuse(failure);
}

void completion_session::refuse(const problem& refusal) {
    seen_.reason = metrics::refusal_reason{std::error_code(refusal.code).message()};
    writer_.fail(refusal);
    record(outcome_of(refusal));
}

void completion_session::leave() {
    end_ticket(rpc::release_outcome::caller_left);
    writer_.abandon();
    record(metrics::request_outcome::canceled);
}

void completion_session::record(metrics::request_outcome ended) {
    seen_.outcome = ended;
    seen_.output_tokens = assembler_.position();
    shared_.recorder.record(seen_);
}

} // namespace cicadahatch::serving
