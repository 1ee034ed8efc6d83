#include "src/forwarding/constants.hpp"
#include "src/forwarding/error.hpp"
#include "src/forwarding/header_fields.hpp"
#include "src/forwarding/relay_answer.hpp"
#include "src/forwarding/stream_run.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Pauses, as multiples of the one that a route allows between events, after which a silent engine
/// is given up. An engine that has taken a stream's memory away makes a pause of some hundred
/// milliseconds and goes on; going on elsewhere would have the prompt read once more.
constexpr double silent_pauses = 6.0;

/// RFC 9110, 15.5.20.
constexpr unsigned status_misdirected = 421;

/// Bytes of an event that has no end yet, after which they are taken for no event: a thousand times
/// the size of an event of some tokens.
constexpr std::size_t max_event_bytes = 256UL * 1024;

/// When an engine is given up that has made no event since a moment. A stream that can't go on
/// elsewhere keeps its engine.
time_point silent_at(const request_context& request, time_point since, bool has_begun) {
    if (!request.route().is_resumable) {
        return request.deadline();
    }
    const duration allowed = has_begun ? std::chrono::duration_cast<duration>(
                                             request.route().inter_event_objective * silent_pauses)
                                       : duration{request.route().inter_event_objective};
    return std::min(request.deadline(), since + allowed);
}

asio::awaitable<bool> hand_on(gateway_state& state, request_context& request,
                              caller_connection& caller, connection_ptr engine, stream_run& run,
                              std::string part) {
    if (part.empty()) {
        co_return true;
    }
    request.note_answer(state.time.now());
    if (!run.has_begun) {
        run.has_begun = true;
        state.placement->on_first_event(request, run.wanted);
        field_map head = engine->head();
        remove_connection_fields(head);
        if (!co_await caller.begin_stream(engine->status(), head)) {
            co_return false;
        }
    }
    co_return co_await caller.send_part(std::move(part));
}

/// Hands on the events until the stream ends.
asio::awaitable<attempt_end> relay(gateway_state& state, request_context_ptr request,
                                   caller_connection& caller, connection_ptr engine,
                                   stream_run& run) {
    std::string bytes;
    time_point last_event_at = state.time.now();
    while (!engine->is_answer_complete()) {
        // Bytes that complete no event are no sign of progress.
        engine->expire_at(silent_at(*request, last_event_at, run.has_begun));
        bytes.clear();
        const std::error_code error = co_await engine->read_body(bytes);
        std::string events = run.events.take(bytes);
        if (!events.empty()) {
            last_event_at = state.time.now();
        }
        if (run.events.partial().size() > max_event_bytes) {
            run.reason = "event without an end";
            co_return attempt_end::broken;
        }
        if (!co_await hand_on(state, *request, caller, engine, run, std::move(events))) {
            request->end(ending::caller_left);
            co_return attempt_end::cut;
        }
        if (error) {
            run.reason = error.message();
            co_return attempt_end::broken;
        }
    }
    if (!run.events.partial().empty()) {
        run.reason = "stream ends within an event";
        co_return attempt_end::broken;
    }
    co_return attempt_end::done;
}

/// A failure of an engine is handed on whole; the rest of its answer is read first.
asio::awaitable<decode_attempt> relay_failure(gateway_state& state, caller_connection& caller,
                                              connection_ptr engine, stream_run& run) {
    full_response answer;
    answer.status = engine->status();
    answer.head = engine->head();
    answer.metadata = state.wire.parse_response(answer.head);
    answer.error = co_await read_rest(engine, answer.body);
    if (!answer.error && is_success(answer.status)) {
        answer.error = errc::bad_response; // It bears no signature, so it is not the engine's.
    }
    if (answer.error) {
        run.reason = answer.error.message();
        run.reached = progress::unknown;
        co_return decode_attempt{attempt_end::broken, answer.status};
    }
    if (answer.metadata.is_not_executed && answer.status == status_misdirected) {
        run.reason = "engine restarted or in another role";
        co_return decode_attempt{attempt_end::misdirected, answer.status};
    }
    if (answer.metadata.is_not_executed) {
        run.reason = "refused by the engine";
        co_return decode_attempt{attempt_end::refused, answer.status};
    }
    run.reached = progress::unknown;
    if (run.has_begun) {
        run.reason = "failed to go on";
        co_return decode_attempt{attempt_end::broken, answer.status};
    }
    const unsigned status = answer.status;
    const bool is_sent = co_await caller.send(to_caller(std::move(answer)));
    co_return decode_attempt{is_sent ? attempt_end::done : attempt_end::cut, status};
}

backend_request decode_request(const gateway_state& state, const request_context& request,
                               const held_place& place, const std::optional<kept_prefill>& kept,
                               const stream_run& run) {
    send_options options;
    options.target = place.engine.id;
    options.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline() -
                                                                              state.time.now());
    options.priority = run.wanted.priority;
    options.hold = place.hold;
    options.last_event = run.events.last_event();
    if (kept) {
        options.kv_source = state.wire.make_kv_source(kept->engine.address, kept->handle);
    }
    return prepared(state, request, options);
}

/// Ends the connection to a decode engine, or keeps it for the next request.
void finish(gateway_state& state, const request_context_ptr& request, const connection_ptr& engine,
            attempt_end ended) {
    request->detach(engine);
    if (ended == attempt_end::done) {
        state.connections.give_back(engine, state.time.now());
    } else {
        engine->close();
    }
}

} // namespace

asio::awaitable<decode_attempt> decode(gateway_state& state, request_context_ptr request,
                                       caller_connection& caller, held_place place,
                                       std::optional<kept_prefill> kept, stream_run& run) {
    run.events.restart();
    backend_request sent = decode_request(state, *request, place, kept, run);
    const time_point limit = silent_at(*request, state.time.now(), false);
    const open_exchange exchange =
        co_await open(state, request, place.engine, std::move(sent), limit);
    if (exchange.error) {
        run.reason = exchange.error.message();
        const bool is_unsent = is_surely_unsent(exchange.error);
        if (!is_unsent) {
            ++run.sends;
            run.reached = progress::unknown;
        }
        if (is_unsent || request->is_ended()) {
            // A hold that was not taken up keeps its memory until its lease ends.
            release_place(state, place);
        }
        if (kept) {
            release_prefill(state, *kept);
        }
        co_return decode_attempt{is_unsent ? attempt_end::refused : attempt_end::broken, 0};
    }
    ++run.sends;
    const connection_ptr engine = exchange.connection;
    const response_metadata metadata = state.wire.parse_response(engine->head());
    if (!is_success(engine->status()) || !metadata.is_signed) {
        if (kept && metadata.is_not_executed) {
            release_prefill(state, *kept);
        }
        decode_attempt failed = co_await relay_failure(state, caller, engine, run);
        if (failed.ended == attempt_end::refused && kept) {
            // Its place was reserved, so it is the prompt's memory that it could not get.
            failed.ended = attempt_end::prefill_lost;
        }
        finish(state, request, engine, failed.ended);
        co_return failed;
    }
    run.reached = progress::unknown;
    const unsigned status = engine->status();
    const attempt_end ended = co_await relay(state, request, caller, engine, run);
    if (ended == attempt_end::done && !run.has_begun) {
        run.has_begun = true;
        field_map head = engine->head();
        remove_connection_fields(head);
        co_await caller.begin_stream(status, head);
    }
    finish(state, request, engine, ended);
    if (ended == attempt_end::done) {
        co_await caller.end_stream();
    }
    co_return decode_attempt{ended, status};
}

const char* to_string(attempt_end ended) noexcept {
    switch (ended) {
    case attempt_end::done:
        return "done";
    case attempt_end::refused:
        return "refused";
    case attempt_end::misdirected:
        return "misdirected";
    case attempt_end::prefill_lost:
        return "prefill_lost";
    case attempt_end::broken:
        return "broken";
    case attempt_end::prefill_failed:
        return "prefill_failed";
    case attempt_end::cut:
        return "cut";
    }
    return "unknown";
}

} // namespace cicadahatch::forwarding
