#include "src/forwarding/plain_forward.hpp"

#include "src/forwarding/error.hpp"
#include "src/forwarding/exchange.hpp"
#include "src/forwarding/final_answer.hpp"
#include "src/forwarding/relay_answer.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Time after which a plain server that has refused a request is likely to have a free slot: about
/// the time of one ordinary call.
constexpr std::chrono::milliseconds plain_retry = 150ms;

/// Lowest status that reports a failure of the server (RFC 9110, 15.6).
constexpr unsigned first_server_failure = 500;

/// What is known after the sends so far.
struct plain_run {
    service_id service;
    std::vector<backend_id> tried;
    unsigned sends = 0; ///< requests that a server may have got
    progress reached = progress::unsent;
    std::error_code error;
    std::optional<full_response> failure; ///< a server's own failure, kept while others are tried
};

/// \returns the server to try next; nothing if all have been tried
std::optional<discovery::backend> next_server(gateway_state& state, const plain_run& run) {
    auto candidates = usable_backends(state, run.service);
    std::erase_if(candidates, [&run](const discovery::backend* candidate) {
        return std::find(run.tried.begin(), run.tried.end(), candidate->id) != run.tried.end();
    });
    const auto sorted = balancing::sort_plain_servers(candidates, inputs_of(state));
    if (sorted.empty()) {
        return std::nullopt;
    }
    return *sorted.front();
}

std::chrono::milliseconds time_left(const gateway_state& state, const request_context& request) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline() -
                                                                 state.time.now());
}

/// \returns whether a further send is allowed, and charges it
bool may_send_again(gateway_state& state, const request_context& request, const plain_run& run) {
    if (run.sends == 0) {
        return true;
    }
    const bool has_attempts = run.sends < request.route().max_attempts;
    return has_attempts && scheduling::take_retry(retries_of(state, run.service));
}

asio::awaitable<full_response> send_once(gateway_state& state, request_context_ptr request,
                                         plain_run& run, discovery::backend to) {
    run.tried.push_back(to.id);
    send_options options;
    options.target = to.id;
    options.time_left = time_left(state, *request);
    options.priority = request->table().priority_level(request->route(), run.service);
    ++balancing::load_of(state.loads, to.id, to.started).running;
    full_response answer =
        co_await call(state, request, to, prepared(state, *request, options), request->deadline());
    auto& load = balancing::load_of(state.loads, to.id, to.started);
    load.running -= std::min(load.running, 1U);
    if (answer.error != errc::connect_failed) {
        ++run.sends;
    }
    state.log.write(answer.error ? logging::weight::notable : logging::weight::routine,
                    "request.sent",
                    {{"request", request->metadata().id.str()},
                     {"backend", to.id.str()},
                     {"running", load.running},
                     {"time_left_ms", options.time_left},
                     {"status", answer.status},
                     {"not_run", answer.metadata.is_not_executed},
                     {"error", answer.error ? answer.error.message() : std::string{}}});
    if (!answer.error) {
        balancing::record_success(load);
    } else if (answer.error != errc::cancelled &&
               balancing::record_failure(load, state.options.ejection, state.time.now())) {
        state.log.write(logging::weight::notable, "backend.ejected",
                        {{"backend", to.id.str()}, {"failures", load.consecutive_failures}});
    }
    co_return answer;
}

/// Whether another server may succeed where this one has run the request and failed.
bool is_worth_repeating(const request_context& request, const full_response& answer) {
    return request.route().kind == routing::request_kind::idempotent &&
           answer.status >= first_server_failure;
}

/// Whether an answer ends the request.
bool is_final(const request_context& request, full_response& answer, plain_run& run) {
    if (!answer.error && !answer.metadata.is_not_executed && is_sound(answer)) {
        if (!is_worth_repeating(request, answer)) {
            return true;
        }
        run.failure.emplace(std::move(answer));
        run.reached = progress::unknown;
        return false;
    }
    run.error = answer.error;
    const bool has_not_run =
        (!answer.error && answer.metadata.is_not_executed) || is_surely_unsent(answer.error);
    if (!has_not_run) {
        run.reached = progress::unknown;
    }
    return request.is_ended();
}

bool may_try_next(const request_context& request, const plain_run& run) {
    const bool is_repeatable = request.route().kind == routing::request_kind::idempotent;
    return !request.is_ended() && (run.reached == progress::unsent || is_repeatable);
}

/// \returns how long it takes until one of the service's servers wants requests again; zero if one
/// does now
std::chrono::milliseconds spared_for(gateway_state& state, const service_id& service) {
    std::optional<duration> shortest;
    for (const discovery::backend* row : state.backends.available_backends(service)) {
        const auto& load = balancing::load_of(state.loads, row->id, row->started);
        const duration left = std::max(duration{0}, load.backoff_until - state.time.now());
        shortest = std::min(shortest.value_or(left), left);
    }
    return std::chrono::ceil<std::chrono::milliseconds>(shortest.value_or(duration{0}));
}

asio::awaitable<void> deliver(gateway_state& state, request_context_ptr request,
                              caller_connection& caller, full_response answer, unsigned sends) {
    const unsigned status = answer.status;
    const bool is_sent = co_await caller.send(to_caller(std::move(answer)));
    log_end(state, *request, status, is_sent ? "answered" : "not_delivered", "", sends);
}

asio::awaitable<void> fail(gateway_state& state, request_context_ptr request,
                           caller_connection& caller, plain_run& run) {
    if (run.failure && request->ended() != ending::caller_left) {
        co_await deliver(state, request, caller, std::move(*run.failure), run.sends);
        co_return;
    }
    const auto retry_after = std::max(plain_retry, spared_for(state, run.service));
    caller_answer answer = failure_answer(run.reached, request->ended(), retry_after);
    const unsigned status = answer.result_int();
    if (request->ended() != ending::caller_left) {
        co_await caller.send(std::move(answer));
    }
    log_end(state, *request, status, "failed", run.error ? run.error.message() : "no server",
            run.sends);
}

} // namespace

asio::awaitable<void> forward_plain(gateway_state& state, request_context_ptr request,
                                    caller_connection& caller) {
    plain_run run;
    run.service = routing::choose_service(request->route(), state.random.unit());
    scheduling::record_request(retries_of(state, run.service));
    while (!request->is_ended()) {
        const auto to = next_server(state, run);
        if (!to || !may_send_again(state, *request, run)) {
            break;
        }
        full_response answer = co_await send_once(state, request, run, *to);
        if (is_final(*request, answer, run) && !request->is_ended()) {
            co_await deliver(state, request, caller, std::move(answer), run.sends);
            co_return;
        }
        if (!may_try_next(*request, run)) {
            break;
        }
    }
    co_await fail(state, request, caller, run);
}

} // namespace cicadahatch::forwarding
