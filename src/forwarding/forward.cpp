#include "src/forwarding/forward.hpp"

#include "src/forwarding/access.hpp"
#include "src/forwarding/caller_response.hpp"
#include "src/forwarding/constants.hpp"
#include "src/forwarding/local_response.hpp"
#include "src/forwarding/plain_forward.hpp"
#include "src/forwarding/stream_forward.hpp"

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// A daemon without a configuration has just started and reads one within some ten milliseconds.
constexpr std::chrono::milliseconds startup_retry_after = 200ms;

/// A daemon with an outdated configuration reads or hears the next one within a second.
constexpr std::chrono::milliseconds outdated_retry_after = 500ms;

/// A lost home of the usage accounts is replaced within this time.
constexpr std::chrono::milliseconds usage_retry_after = 300ms;

/// Whether a stopping daemon could not complete the request before it exits.
bool misses_shutdown(const gateway_state& state, const routing::route& route) {
    if (!state.is_stopping) {
        return false;
    }
    const time_point now = state.time.now();
    const bool is_stream = route.kind == routing::request_kind::streaming;
    return is_stream ? now > state.shutdown.last_stream_admission
                     : now + route.timeout > state.shutdown.last_response;
}

/// \returns the memory of a request in progress: its body, and the copy that is being sent
std::size_t memory_of(const backend_request& message) {
    return 2 * message.body().size();
}

admission reject(gateway_state& state, const request_id& id, caller_response response,
                 std::string_view reason) {
    state.log.write(logging::weight::notable, "request.refused",
                    {{"request", id.str()},
                     {"status", response.result_int()},
                     {"reason", reason},
                     {"version", state.table ? state.table->version() : 0}});
    state.metric_registry
        .counter_of(
            metrics::metric_name{"cicadahatch_requests_rejected_" + std::string{reason} + "_total"},
            "Requests rejected before any choice, by reason")
        .add();
    return {nullptr, std::move(response), 0};
}

admission reject_access(gateway_state& state, const request_id& id, access result) {
    if (result == access::outdated) {
        return reject(state, id,
                      unavailable_response("configuration outdated", outdated_retry_after),
                      "configuration_outdated");
    }
    return reject(state, id, unauthorized_response(state.wire.authentication_scheme),
                  "unknown_key");
}

} // namespace

admission admit(gateway_state& state, backend_request message) {
    const request_metadata metadata = state.wire.parse_request(message);
    if (!state.table) {
        return reject(state, metadata.id,
                      unavailable_response("no configuration yet", startup_retry_after),
                      "no_configuration");
    }
    const auto host = message[beast_http::field::host];
    const auto target = message.target();
    const routing::route* found =
        state.table->find({host.data(), host.size()}, {target.data(), target.size()});
    if (found == nullptr) {
        return reject(
            state, metadata.id,
            local_response(static_cast<unsigned>(beast_http::status::not_found), "no such route"),
            "no_route");
    }
    if (misses_shutdown(state, *found)) {
        return reject(state, metadata.id, unavailable_response("stopping", shutdown_retry_after),
                      "stopping");
    }
    const access_decision decision = check_access(state, *found, metadata);
    if (decision.result != access::granted) {
        return reject_access(state, metadata.id, decision.result);
    }
    if (state.table->has_teams()) {
        state.wire.set_team(message, decision.owner ? decision.owner->id : team_id{});
    }
    const std::size_t memory = memory_of(message);
    if (!apply_grant(state, hold(state.memory, memory, state.time.now()))) {
        return reject(state, metadata.id,
                      unavailable_response("out of memory for bodies", memory_retry_after),
                      "memory");
    }
    auto request = std::make_shared<request_context>(state.loop, state.table, *found, metadata,
                                                     state.time.now(), decision.owner);
    request->message = std::move(message);
    return {std::move(request), {}, memory};
}

namespace {

/// Answers a request whose usage was not granted.
asio::awaitable<void> reject_usage(gateway_state& state, request_context_ptr request,
                                   caller_connection& caller, usage_decision decision) {
    const bool is_exceeded = decision.result == usage_decision::outcome::exceeded;
    caller_response response =
        is_exceeded ? too_many_requests_response(decision.retry_after)
                    : make_failure_response(state, *request, execution_state::not_executed,
                                            usage_retry_after);
    const unsigned status = response.result_int();
    if (request->end_reason() != request_end_reason::caller_left) {
        co_await caller.send(std::move(response));
    }
    record_request_end(state, *request, status, "failed",
                       is_exceeded ? "usage cap exceeded" : "usage accounts not reached", 0);
}

asio::awaitable<execution_state> forward_by_kind(gateway_state& state, request_context_ptr request,
                                                 caller_connection& caller) {
    if (request->route().kind == routing::request_kind::streaming) {
        co_return co_await forward_stream(state, request, caller);
    }
    co_return co_await forward_plain(state, request, caller);
}

} // namespace

asio::awaitable<void> forward(gateway_state& state, request_context_ptr request,
                              caller_connection& caller) {
    usage_decision decision;
    if (state.usage != nullptr) {
        decision = co_await state.usage->take(request);
    }
    if (decision.result != usage_decision::outcome::granted) {
        co_await reject_usage(state, request, caller, decision);
        co_return;
    }
    const execution_state execution = co_await forward_by_kind(state, request, caller);
    if (state.usage != nullptr && execution == execution_state::not_executed) {
        state.usage->give_back(*request, decision);
    }
}

} // namespace cicadahatch::forwarding
