#include "src/forwarding/stream_forward.hpp"

#include "src/forwarding/caller_response.hpp"
#include "src/forwarding/constants.hpp"
#include "src/forwarding/engine_probe.hpp"
#include "src/forwarding/stream_state.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Retry-After if the home has sent none: capacity is likely to be free after this time.
constexpr std::chrono::milliseconds default_retry_after = ordinary_stream_duration / 2;

/// A caller abandons a stream after two seconds without an event, four times the objective or eight
/// times the gap objective, whichever is longest.
constexpr std::chrono::milliseconds min_abandonment_time = 2s;
constexpr int abandonment_objectives = 4;
constexpr int abandonment_gaps = 8;

/// Time after its first event for which a stream counts as beginning.
constexpr std::chrono::milliseconds beginning_duration = 100ms;

/// Fraction of that time within which a first event is still useful.
constexpr double useful_fraction = 0.75;

std::chrono::milliseconds max_useful_wait(const routing::route& route) {
    const std::chrono::milliseconds abandoned =
        std::max({min_abandonment_time, route.objective * abandonment_objectives,
                  route.inter_event_objective * abandonment_gaps});
    return std::chrono::duration_cast<std::chrono::milliseconds>(abandoned * useful_fraction);
}

placement_request make_placement_request(gateway_state& state, const request_context& request) {
    placement_request placement;
    const routing::route& route = request.route();
    placement.service = routing::choose_service(route, state.random.unit());
    placement.priority = request.table().priority_level(route, placement.service, request.owner());
    placement.target = route.objective;
    placement.retry_target = max_useful_wait(route);
    return placement;
}

placement_outcome to_placement_outcome(const request_context& request,
                                       const decode_attempt& result) {
    if (result.is_engine_down) {
        return placement_outcome::engine_crashed;
    }
    if (request.end_reason() == request_end_reason::caller_left ||
        result.outcome == attempt_outcome::cut) {
        return placement_outcome::caller_left;
    }
    switch (result.outcome) {
    case attempt_outcome::done:
        return placement_outcome::completed;
    case attempt_outcome::refused:
        return placement_outcome::no_room;
    case attempt_outcome::prefill_failed:
    case attempt_outcome::prefill_lost:
        return placement_outcome::prefill_failed;
    case attempt_outcome::misdirected:
    case attempt_outcome::broken:
    case attempt_outcome::cut:
        return placement_outcome::decode_failed;
    }
    return placement_outcome::decode_failed;
}

/// Updates the load and health of the decode engine and reports the outcome to the home.
void record_attempt(gateway_state& state, const request_context& request,
                    const decode_reservation& reservation, const decode_attempt& result,
                    stream_state& stream) {
    auto& load = balancing::load_of(state.loads, reservation.engine.id, reservation.engine.started);
    load.reserved_tokens -= std::min<std::uint64_t>(load.reserved_tokens, reservation.tokens);
    load.running -= std::min(load.running, 1U);
    const bool is_failure =
        result.outcome == attempt_outcome::broken || result.outcome == attempt_outcome::misdirected;
    if (is_failure && !request.is_ended()) {
        stream.failed_engines.push_back(reservation.engine.id);
        balancing::record_failure(load, state.options.ejection, state.time.now());
    } else if (result.outcome == attempt_outcome::done) {
        balancing::record_success(load);
    }
    if (reservation.is_granted) {
        const bool is_done = result.outcome == attempt_outcome::done;
        state.placements->on_attempt_ended(request, stream.placement,
                                           to_placement_outcome(request, result),
                                           is_done ? count_generated_tokens(request, stream) : 0);
    }
}

void log_attempt(gateway_state& state, const request_context& request,
                 const decode_reservation& reservation,
                 const std::optional<finished_prefill>& prefill, const decode_attempt& result,
                 const stream_state& stream) {
    state.log.write(result.outcome == attempt_outcome::done ? logging::weight::routine
                                                            : logging::weight::notable,
                    "stream.attempt",
                    {{"request", request.metadata().id.str()},
                     {"attempt", stream.placement.attempt.value()},
                     {"decode", reservation.engine.id.str()},
                     {"prefill", prefill ? prefill->engine.id.str() : std::string{}},
                     {"granted", reservation.is_granted},
                     {"ended", to_string(result.outcome)},
                     {"status", result.status},
                     {"events", stream.events.event_count()},
                     {"last_event", stream.events.last_event_id().value_or(0)},
                     {"parts", logging::format_hashes(request.metadata().shared_prompt_parts)},
                     {"reason", stream.last_failure}});
}

/// Whether the stream was beginning when the engine's response broke off, so that its prompt may
/// have crashed the engine.
bool is_crash_suspect(const gateway_state& state, const decode_attempt& result,
                      const stream_state& stream) {
    const bool has_begun = stream.attempt_began_at != time_point{};
    return result.outcome == attempt_outcome::broken && result.is_connection_lost &&
           (!has_begun || state.time.now() - stream.attempt_began_at < beginning_duration);
}

/// \returns whether the engine's process has ended, as after a crash
asio::awaitable<bool> check_engine(gateway_state& state, request_context_ptr request,
                                   discovery::backend engine) {
    const process_state found = co_await probe_process(state, engine);
    if (found == process_state::ended) {
        state.metric_registry
            .counter_of(metrics::metric_name{"cicadahatch_engine_crashes_total"},
                        "Streams that were beginning as their engine's process ended")
            .add();
    }
    state.log.write(logging::weight::notable, "engine.probed",
                    {{"request", request->metadata().id.str()},
                     {"backend", engine.id.str()},
                     {"process", to_string(found)},
                     {"parts", logging::format_hashes(request->metadata().shared_prompt_parts)}});
    co_return found == process_state::ended;
}

/// Runs one attempt: reservation, prefill and decode.
asio::awaitable<decode_attempt> attempt(gateway_state& state, request_context_ptr request,
                                        caller_connection& caller, stream_state& stream) {
    std::optional<decode_reservation> reservation =
        co_await reserve_decode_engine(state, request, stream);
    if (!reservation) {
        co_return decode_attempt{};
    }
    // If the retry budget is exhausted, the decode engine runs the prefill itself.
    reservation->prefills_locally =
        reservation->prefills_locally || !try_charge_prefill(state, stream);
    std::optional<finished_prefill> prefill;
    if (!reservation->prefills_locally) {
        prefill = co_await run_prefill(state, request, *reservation, stream);
    }
    decode_attempt result;
    const bool is_prefill_lost =
        !prefill && reservation->is_granted && !reservation->prefills_locally;
    if (request->is_ended() || is_prefill_lost) {
        release_reservation(state, *reservation);
        if (prefill) {
            release_prefill(state, *prefill);
        }
        result.outcome = attempt_outcome::prefill_failed;
    } else {
        if (prefill && reservation->is_granted) {
            state.placements->on_prefill_finished(*request, stream.placement);
        }
        // Without a finished prefill, the decode engine runs it itself.
        result = co_await run_decode(state, request, caller, *reservation, prefill, stream);
    }
    if (is_crash_suspect(state, result, stream)) {
        result.is_engine_down = co_await check_engine(state, request, reservation->engine);
    }
    record_attempt(state, *request, *reservation, result, stream);
    log_attempt(state, *request, *reservation, prefill, result, stream);
    co_return result;
}

/// \returns whether another attempt is allowed; charges it to the retry budget if the request was
/// sent before
bool try_charge_attempt(gateway_state& state, const request_context& request,
                        const stream_state& stream, attempt_outcome outcome) {
    const bool is_repeatable =
        stream.execution == execution_state::not_executed || request.route().is_resumable;
    const bool has_attempts = stream.sends < request.route().max_attempts;
    if (request.is_ended() || outcome == attempt_outcome::done || outcome == attempt_outcome::cut) {
        return false;
    }
    if (stream.is_refused || !is_repeatable || !has_attempts) {
        return false;
    }
    return stream.sends == 0 ||
           scheduling::take_retry(retry_budget_of(state, stream.placement.service));
}

/// Relaxes the target of a resumed stream. Its first event has met or missed the objective, so the
/// rest must only arrive before the caller abandons the stream. It is queued behind streams that
/// can still meet their objective.
void set_resumed_targets(stream_state& stream, const request_context& request, time_point now) {
    stream.placement.target = max_useful_wait(request.route());
    stream.placement.target_start = now;
    stream.placement.is_late = true;
}

asio::awaitable<void> finish_failed(gateway_state& state, request_context_ptr request,
                                    caller_connection& caller, const stream_state& stream) {
    unsigned status = 0;
    if (stream.has_started) {
        caller.abort();
    } else if (request->end_reason() != request_end_reason::caller_left) {
        const auto retry_after =
            stream.retry_after > 0ms ? stream.retry_after : default_retry_after;
        caller_response response =
            make_failure_response(state, *request, stream.execution, retry_after);
        status = response.result_int();
        co_await caller.send(std::move(response));
    }
    record_request_end(state, *request, status, stream.has_started ? "cut" : "failed",
                       stream.last_failure, stream.sends);
}

} // namespace

asio::awaitable<execution_state> forward_stream(gateway_state& state, request_context_ptr request,
                                                caller_connection& caller) {
    stream_state stream;
    stream.placement = make_placement_request(state, *request);
    if (request->metadata().last_event) {
        stream.events.skip_through(*request->metadata().last_event);
    }
    scheduling::record_request(retry_budget_of(state, stream.placement.service));
    decode_attempt result = co_await attempt(state, request, caller, stream);
    while (try_charge_attempt(state, *request, stream, result.outcome)) {
        if (stream.has_started) {
            set_resumed_targets(stream, *request, state.time.now());
        }
        result = co_await attempt(state, request, caller, stream);
    }
    if (result.outcome == attempt_outcome::done) {
        record_request_end(state, *request, result.status, "answered", "", stream.sends);
        co_return stream.execution;
    }
    co_await finish_failed(state, request, caller, stream);
    co_return stream.execution;
}

} // namespace cicadahatch::forwarding
