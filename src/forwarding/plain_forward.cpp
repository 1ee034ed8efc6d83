#include "src/forwarding/plain_forward.hpp"

#include "src/forwarding/caller_response.hpp"
#include "src/forwarding/error.hpp"
#include "src/forwarding/exchange.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Retry-After for plain services: a server that refused a request is likely to have a free slot
/// after about the time of one ordinary call.
constexpr std::chrono::milliseconds plain_retry_after = 150ms;

/// Lowest server error status (RFC 9110, 15.6).
constexpr unsigned first_server_error_status = 500;

/// State of a request across its sends.
struct plain_attempts {
    service_id service;
    std::vector<backend_id> tried;
    unsigned sends = 0; ///< requests that a server may have received
    execution_state execution = execution_state::not_executed;
    std::error_code error;
    std::optional<full_response>
        failure; ///< error response of a server, kept while others are tried
};

/// \returns the next server to try; nothing if all have been tried
std::optional<discovery::backend> pick_server(gateway_state& state,
                                              const plain_attempts& attempts) {
    auto candidates = available_backends(state, attempts.service);
    std::erase_if(candidates, [&attempts](const discovery::backend* candidate) {
        return std::find(attempts.tried.begin(), attempts.tried.end(), candidate->id) !=
               attempts.tried.end();
    });
    const auto sorted = balancing::sort_plain_servers(candidates, make_selection_context(state));
    if (sorted.empty()) {
        return std::nullopt;
    }
    return *sorted.front();
}

std::chrono::milliseconds time_left(const gateway_state& state, const request_context& request) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline() -
                                                                 state.time.now());
}

/// \returns whether a send is allowed; charges it to the retry budget unless it is the first
bool try_charge_send(gateway_state& state, const request_context& request,
                     const plain_attempts& attempts) {
    if (attempts.sends == 0) {
        return true;
    }
    const bool has_attempts = attempts.sends < request.route().max_attempts;
    return has_attempts && scheduling::take_retry(retry_budget_of(state, attempts.service));
}

/// Updates the slow start of a server by its answer.
void record_pace(const gateway_state& state, balancing::backend_load& load,
                 const full_response& response, duration elapsed) {
    if (response.error == errc::cancelled) {
        return;
    }
    const bool is_refused = response.error || response.metadata.is_not_executed;
    if (!is_refused && balancing::record_answer_time(load, elapsed)) {
        balancing::record_good_answer(load.pace, state.time.now());
    } else {
        balancing::record_bad_answer(load.pace, state.time.now());
    }
}

asio::awaitable<full_response> send_to_server(gateway_state& state, request_context_ptr request,
                                              plain_attempts& attempts, discovery::backend target) {
    attempts.tried.push_back(target.id);
    send_options options;
    options.target = target.id;
    options.time_left = time_left(state, *request);
    options.priority =
        request->table().priority_level(request->route(), attempts.service, request->owner());
    ++balancing::load_of(state.loads, target.id, target.started).running;
    const time_point sent_at = state.time.now();
    full_response response =
        co_await send_request(state, request, target,
                              make_backend_request(state, *request, options), request->deadline());
    auto& load = balancing::load_of(state.loads, target.id, target.started);
    load.running -= std::min(load.running, 1U);
    if (response.error != errc::connect_failed) {
        ++attempts.sends;
    }
    state.log.write(response.error ? logging::weight::notable : logging::weight::routine,
                    "request.sent",
                    {{"request", request->metadata().id.str()},
                     {"backend", target.id.str()},
                     {"running", load.running},
                     {"limit", load.limit ? load.limit->requests_per_second : 0},
                     {"time_left_ms", options.time_left},
                     {"status", response.status},
                     {"not_run", response.metadata.is_not_executed},
                     {"error", response.error ? response.error.message() : std::string{}}});
    record_pace(state, load, response, state.time.now() - sent_at);
    if (!response.error) {
        balancing::record_success(load);
    } else if (response.error != errc::cancelled &&
               balancing::record_failure(load, state.options.ejection, state.time.now())) {
        state.log.write(logging::weight::notable, "backend.ejected",
                        {{"backend", target.id.str()}, {"failures", load.consecutive_failures}});
    }
    co_return response;
}

/// Whether to retry a request that a server has executed and failed.
bool is_retryable_failure(const request_context& request, const full_response& response) {
    return request.route().kind == routing::request_kind::idempotent &&
           response.status >= first_server_error_status;
}

/// Updates the state by a response.
/// \returns whether the response is the final one for the caller
bool handle_response(const request_context& request, full_response& response,
                     plain_attempts& attempts) {
    const bool is_not_executed = (!response.error && response.metadata.is_not_executed) ||
                                 is_definitely_unsent(response.error);
    if (!is_not_executed) {
        attempts.execution = execution_state::unknown;
    }
    if (response.error || response.metadata.is_not_executed || !is_valid_response(response)) {
        attempts.error = response.error;
        return false;
    }
    if (!is_retryable_failure(request, response)) {
        return true;
    }
    attempts.failure.emplace(std::move(response));
    return false;
}

bool may_retry(const request_context& request, const plain_attempts& attempts) {
    const bool is_repeatable = request.route().kind == routing::request_kind::idempotent;
    return !request.is_ended() &&
           (attempts.execution == execution_state::not_executed || is_repeatable);
}

/// \returns the time until the first of the service's servers accepts a request
std::chrono::milliseconds time_until_server(gateway_state& state, const service_id& service) {
    std::optional<duration> shortest;
    for (const discovery::backend* backend : state.backends.available_backends(service)) {
        const duration remaining = time_until_available(state, *backend);
        shortest = std::min(shortest.value_or(remaining), remaining);
    }
    return std::chrono::ceil<std::chrono::milliseconds>(shortest.value_or(duration{0}));
}

asio::awaitable<void> send_response(gateway_state& state, request_context_ptr request,
                                    caller_connection& caller, full_response response,
                                    unsigned sends) {
    const unsigned status = response.status;
    bool is_sent = false;
    if (request->end_reason() != request_end_reason::caller_left) {
        is_sent = co_await caller.send(make_caller_response(std::move(response)));
    }
    record_request_end(state, *request, status, is_sent ? "answered" : "not_delivered", "", sends);
}

asio::awaitable<void> send_failure(gateway_state& state, request_context_ptr request,
                                   caller_connection& caller, plain_attempts& attempts) {
    if (attempts.failure) {
        co_await send_response(state, request, caller, std::move(*attempts.failure),
                               attempts.sends);
        co_return;
    }
    const std::chrono::milliseconds until_server = time_until_server(state, attempts.service);
    const auto retry_after = std::max(plain_retry_after, until_server);
    caller_response response =
        make_failure_response(state, *request, attempts.execution, retry_after);
    const unsigned status = response.result_int();
    if (request->end_reason() != request_end_reason::caller_left) {
        co_await caller.send(std::move(response));
    }
    const char* const unavailable =
        until_server > 0ms ? "all servers have asked for fewer requests" : "no server";
    record_request_end(state, *request, status, "failed",
                       attempts.error ? attempts.error.message() : unavailable, attempts.sends);
}

} // namespace

asio::awaitable<execution_state> forward_plain(gateway_state& state, request_context_ptr request,
                                               caller_connection& caller) {
    plain_attempts attempts;
    attempts.service = routing::choose_service(request->route(), state.random.unit());
    scheduling::record_request(retry_budget_of(state, attempts.service));
    while (!request->is_ended()) {
        const auto target = pick_server(state, attempts);
        if (!target || !try_charge_send(state, *request, attempts)) {
            break;
        }
        full_response response = co_await send_to_server(state, request, attempts, *target);
        // A response that is complete as the request times out is still delivered.
        if (handle_response(*request, response, attempts)) {
            co_await send_response(state, request, caller, std::move(response), attempts.sends);
            co_return attempts.execution;
        }
        if (!may_retry(*request, attempts)) {
            break;
        }
    }
    co_await send_failure(state, request, caller, attempts);
    co_return attempts.execution;
}

} // namespace cicadahatch::forwarding
