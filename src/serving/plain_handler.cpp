#include "src/serving/plain_handler.hpp"

#include "src/serving/caller_rank.hpp"
#include "src/serving/constants.hpp"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <glog/logging.h>
#include <mutex>
#include <optional>

namespace cicadahatch::serving {

namespace {

constexpr std::chrono::milliseconds retry_after_overload{500};
constexpr std::chrono::milliseconds retry_after_store{2000};
constexpr std::chrono::milliseconds retry_after_running{1000};
constexpr std::size_t max_key_bytes = 255;
constexpr std::string_view key_header = "Idempotency-Key";
constexpr std::array<std::string_view, 2> passed_headers = {"Content-Type", "Accept"};

problem not_run(errc code, std::chrono::milliseconds retry_after = {}, std::string field = {}) {
    return {code, execution::not_run, retry_after, std::move(field)};
}

bool is_covered(const settings::at_most_once_rule& rule, const http::request& sent) {
    const auto has_method = std::find(rule.methods.begin(), rule.methods.end(), sent.method);
    if (has_method == rule.methods.end()) {
        return false;
    }
    const auto covers = [&](const std::string& prefix) { return sent.path.rfind(prefix, 0) == 0; };
    return rule.paths.empty() || std::any_of(rule.paths.begin(), rule.paths.end(), covers);
}

bool is_clean_key(const std::string& key) {
    constexpr char first_printable = '!';
    constexpr char last_printable = '~';
    const auto is_printable = [](char letter) {
        return letter >= first_printable && letter <= last_printable;
    };
    return !key.empty() && key.size() <= max_key_bytes &&
           std::all_of(key.begin(), key.end(), is_printable);
}

http::request to_backend(const http::request& received, std::string path,
                         const request_id& request) {
    http::request sent;
    sent.method = received.method;
    sent.path = std::move(path);
    sent.query = received.query;
    sent.body = received.body;
    for (const std::string_view name : passed_headers) {
        if (const std::string* value = http::find_header(received.headers, name)) {
            sent.headers.push_back({std::string{name}, *value});
        }
    }
    sent.headers.push_back({"X-Request-Id", echoed_id(received, request).str()});
    return sent;
}

http::response to_caller(const http::response& answer, const request_id& request) {
    http::response told;
    told.status = answer.status;
    const std::string* type = http::find_header(answer.headers, "Content-Type");
    told.headers = {{"Content-Type", type == nullptr ? "application/octet-stream" : *type},
                    {"X-Request-Id", request.str()}};
    told.body = answer.body;
    return told;
}

http::response to_response(const claims::claim_outcome& outcome) {
    http::response told;
    told.status = outcome.status;
    told.headers = {{"Content-Type", outcome.content_type}, {"Idempotent-Replayed", "true"}};
    told.body = outcome.body;
    return told;
}

claims::claim_outcome to_outcome(const http::response& answer) {
    const std::string* type = http::find_header(answer.headers, "Content-Type");
    return claims::make_outcome(answer.status, type == nullptr ? "" : *type, answer.body);
}

plain_answer on_repeat(const claims::in_progress& running) {
    static_cast<void>(running);
    return tl::unexpected(problem{errc::in_progress, execution::unknown, retry_after_running, {}});
}

plain_answer on_repeat(const claims::completed& done) {
    if (!done.outcome.is_body_kept) {
        return tl::unexpected(problem{errc::already_completed, execution::completed, {}, {}});
    }
    return to_response(done.outcome);
}

plain_answer on_repeat(const claims::unknown_outcome& unknown) {
    static_cast<void>(unknown);
    return tl::unexpected(problem{errc::outcome_unknown, execution::unknown, {}, {}});
}

plain_answer on_repeat(const claims::key_reused& reused) {
    static_cast<void>(reused);
    return tl::unexpected(not_run(errc::key_reused, {}, std::string{key_header}));
}

plain_answer on_repeat(const claims::key_expired& expired) {
    static_cast<void>(expired);
    return tl::unexpected(problem{errc::key_expired, execution::unknown, {}, {}});
}

} // namespace

struct plain_handler::job {
    settings::service service;
    http::request sent;
    request_id request; ///< unique name
    request_id told;    ///< name echoed to the caller
    bool is_at_most_once = false;
    idempotency_key key;
    rank work_rank = rank::deferrable;
    time_point arrived;
    time_point deadline;
    std::atomic<bool> is_caller_gone{false};

    std::mutex mutex;
    std::condition_variable done;
    std::optional<plain_answer> answer;
};

void plain_handler::handle(http::exchange& call, const request_id& request, bool is_overloaded) {
    auto prepared = prepare(call.request(), request);
    if (prepared && is_overloaded && !(*prepared)->is_at_most_once) {
        const problem refusal = not_run(errc::overloaded, retry_after_overload);
        record(**prepared, tl::unexpected(refusal));
        prepared = tl::unexpected(refusal);
    }
    if (!prepared) {
        call.respond(to_response(prepared.error(), echoed_id(call.request(), request)));
        return;
    }
    const std::shared_ptr<job> running = *prepared;
    workers_.start([this, running] {
        plain_answer answer = run(*running);
        record(*running, answer);
        const std::lock_guard lock{running->mutex};
        running->answer = std::move(answer);
        running->done.notify_all();
    });
    wait_for(call, *running);
}

tl::expected<std::shared_ptr<plain_handler::job>, problem>
plain_handler::prepare(const http::request& received, const request_id& request) const {
    const std::string rest = received.path.substr(plain_path_prefix.size());
    const std::size_t slash = rest.find('/');
    auto service = shared_.directory.service(service_id{rest.substr(0, slash)});
    if (!service || service->kind != settings::service_kind::plain) {
        return tl::unexpected(not_run(errc::unknown_service));
    }
    auto made = std::make_shared<job>();
    const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    made->sent = to_backend(received, path, request);
    made->request = request;
    made->told = echoed_id(received, request);
    made->work_rank = rank_of(*service, received);
    made->is_at_most_once = is_covered(service->at_most_once, made->sent);
    const std::string* key = http::find_header(received.headers, key_header);
    if (key != nullptr && !is_clean_key(*key)) {
        return tl::unexpected(not_run(errc::bad_header, {}, std::string{key_header}));
    }
    if (made->is_at_most_once && key == nullptr && service->at_most_once.is_key_required) {
        return tl::unexpected(not_run(errc::key_required, {}, std::string{key_header}));
    }
    if (key != nullptr) {
        made->key = idempotency_key{*key};
        made->sent.headers.push_back({std::string{key_header}, *key});
    }
    const bool is_urgent = made->work_rank == rank::urgent;
    const auto& rule = is_urgent ? service->urgent : service->deferrable;
    const auto limit = rule.deadline.count() > 0 ? rule.deadline : default_plain_deadline;
    made->arrived = shared_.time.now();
    made->deadline = made->arrived + limit;
    made->service = std::move(*service);
    return made;
}

void plain_handler::wait_for(http::exchange& call, job& running) {
    std::unique_lock lock{running.mutex};
    while (!running.answer) {
        running.done.wait_for(lock, caller_check_period);
        if (running.answer) {
            break;
        }
        lock.unlock();
        const bool is_there = !shared_.configured.sends_interim_responses || call.send_interim();
        lock.lock();
        if (!is_there) {
            running.is_caller_gone = true;
            call.abandon();
            return;
        }
    }
    const plain_answer& answer = *running.answer;
    call.respond(answer ? to_caller(*answer, running.told)
                        : to_response(answer.error(), running.told));
}

plain_answer plain_handler::run(const job& running) {
    if (running.is_at_most_once && !running.key.empty()) {
        return run_once(running);
    }
    plain_call call;
    call.service = running.service.name;
    call.sent = running.sent;
    call.may_be_repeated = !running.is_at_most_once && is_idempotent(running.sent.method);
    call.preferred = shared_.configured.domain;
    call.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(running.deadline -
                                                                         shared_.time.now());
    call.may_send = [&] {
        return !running.is_caller_gone && shared_.time.now() < running.deadline;
    };
    return run_plain_call(shared_.directory, call);
}

plain_answer plain_handler::run_once(const job& running) {
    claims::claim_request wanted;
    wanted.service = running.service.name;
    wanted.key = running.key;
    wanted.digest = claims::digest_of(running.sent.method, running.sent.path, running.sent.body);
    wanted.deadline = running.deadline;
    wanted.kept = running.service.at_most_once.kept;
    auto decision = claims_.begin(wanted);
    if (!decision) {
        LOG_EVERY_N(WARNING, 20) << "claims: no claim: " << decision.error().message();
        // Without a claim nothing has been sent, whatever became of the claim itself.
        return tl::unexpected(not_run(errc::store_unavailable, retry_after_store));
    }
    if (auto* claimed = std::get_if<claims::run_it>(&*decision)) {
        return run_claimed(running, std::move(claimed->allowed));
    }
    return std::visit(
        [](const auto& what) -> plain_answer {
            if constexpr (requires { on_repeat(what); }) {
                return on_repeat(what);
            } else {
                return tl::unexpected(problem{errc::outcome_unknown, execution::unknown, {}, {}});
            }
        },
        *decision);
}

plain_answer plain_handler::run_claimed(const job& running, claims::permit held) {
    plain_call call;
    call.service = running.service.name;
    call.sent = running.sent;
    call.preferred = shared_.configured.domain;
    call.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(running.deadline -
                                                                         shared_.time.now());
    call.may_send = [&] { return !running.is_caller_gone && held.may_send(shared_.time); };
    plain_answer answer = run_plain_call(shared_.directory, call);
    if (answer) {
        static_cast<void>(claims_.record(std::move(held), to_outcome(*answer)));
    } else if (answer.error().ran == execution::not_run) {
        static_cast<void>(claims_.abandon(std::move(held)));
    }
    return answer;
}

void plain_handler::record(const job& ended, const plain_answer& answer) {
    const bool is_urgent = ended.work_rank == rank::urgent;
    const auto& rule = is_urgent ? ended.service.urgent : ended.service.deferrable;
    metrics::request_observation seen;
    seen.service = ended.service.name;
    seen.team = ended.service.team;
    seen.work_rank = ended.work_rank;
    seen.first_token = shared_.time.now() - ended.arrived;
    seen.first_token_target = rule.first_token;
    if (ended.is_caller_gone) {
        seen.outcome = metrics::request_outcome::canceled;
    } else if (!answer) {
        seen.outcome = outcome_of(answer.error());
        seen.reason = metrics::refusal_reason{std::error_code(answer.error().code).message()};
    }
    shared_.recorder.record(seen);
}

} // namespace cicadahatch::serving
