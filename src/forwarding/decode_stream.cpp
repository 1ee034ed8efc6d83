#include "src/forwarding/caller_response.hpp"
#include "src/forwarding/constants.hpp"
#include "src/forwarding/error.hpp"
#include "src/forwarding/header_fields.hpp"
#include "src/forwarding/stall_watch.hpp"
#include "src/forwarding/stream_state.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Multiple of the route's gap objective within which the first event is due while another engine
/// may still meet the objective. Capacity was reserved, so a healthy engine needs less than one.
constexpr int first_event_gaps = 1;

/// The same where no other engine may be tried, or the caller already has a part of the response.
constexpr int patient_first_event_gaps = 6;

/// Largest incomplete event: a thousand times the size of an event of some tokens. Larger ones are
/// not valid events.
constexpr std::size_t max_event_bytes = 256UL * 1024;

/// Whether the request may be sent to another engine if the current one, which is one of the sends,
/// fails.
bool may_go_on_elsewhere(gateway_state& state, const request_context& request,
                         const stream_state& stream, unsigned sends) {
    return request.route().is_resumable && sends < request.route().max_attempts &&
           scheduling::has_retry(retry_budget_of(state, stream.placement.service));
}

/// Deadline for the first event of an attempt. An engine is left early only for another one, and a
/// response that has begun is not given up before the request times out.
time_point first_event_deadline(gateway_state& state, const request_context& request,
                                const stream_state& stream, unsigned sends, time_point since) {
    const bool has_alternative = may_go_on_elsewhere(state, request, stream, sends);
    if (!request.route().is_resumable || (stream.has_started && !has_alternative)) {
        return request.deadline();
    }
    const bool is_patient = stream.has_started || !has_alternative;
    const int gaps = is_patient ? patient_first_event_gaps : first_event_gaps;
    return std::min(request.deadline(), since + gaps * request.route().inter_event_objective);
}

asio::awaitable<bool> forward_events(gateway_state& state, request_context& request,
                                     caller_connection& caller, connection_ptr connection,
                                     const field_map& head, stream_state& stream,
                                     std::string events) {
    if (events.empty()) {
        co_return true;
    }
    request.record_response_part(state.time.now());
    if (!stream.has_started) {
        stream.has_started = true;
        state.placements->on_first_event(request, stream.placement);
        const bool is_sent = co_await caller.begin_stream(connection->status(), head);
        if (!is_sent) {
            co_return false;
        }
    }
    co_return co_await caller.send_chunk(std::move(events));
}

/// Forwards events until the stream ends.
/// \param head for the caller
asio::awaitable<decode_attempt> relay_events(gateway_state& state, request_context_ptr request,
                                             caller_connection& caller, connection_ptr connection,
                                             const field_map& head, discovery::backend engine,
                                             stream_state& stream) {
    const unsigned status = connection->status();
    std::string bytes;
    stall_watch watch{state, request, connection, std::move(engine), [&state, request, &stream] {
                          return may_go_on_elsewhere(state, *request, stream, stream.sends);
                      }};
    // Until the first event, the deadline of the attempt is in force. Bytes that complete no event
    // do not extend it.
    while (!connection->is_response_complete()) {
        bytes.clear();
        const std::error_code error = co_await connection->read_body(bytes);
        std::string events = stream.events.append(bytes);
        if (!events.empty()) {
            watch.record_event();
            if (stream.attempt_began_at == time_point{}) {
                stream.attempt_began_at = state.time.now();
                connection->set_deadline(request->deadline());
            }
        }
        if (stream.events.partial().size() > max_event_bytes) {
            stream.last_failure = "event without an end";
            co_return decode_attempt{attempt_outcome::broken, status};
        }
        if (!co_await forward_events(state, *request, caller, connection, head, stream,
                                     std::move(events))) {
            request->end(request_end_reason::caller_left);
            co_return decode_attempt{attempt_outcome::cut, status};
        }
        if (error) {
            stream.last_failure = error.message();
            co_return decode_attempt{attempt_outcome::broken, status,
                                     error == errc::connection_lost};
        }
    }
    if (!stream.events.partial().empty()) {
        stream.last_failure = "stream ends within an event";
        co_return decode_attempt{attempt_outcome::broken, status, true};
    }
    // The connection of an engine that crashes may end like a response without a length.
    const bool has_begun = stream.attempt_began_at != time_point{};
    if (!has_begun && connection->ends_with_connection()) {
        stream.last_failure = "stream ends without an event";
        co_return decode_attempt{attempt_outcome::broken, status, true};
    }
    co_return decode_attempt{attempt_outcome::done, status};
}

/// Reads the rest of a failure response and forwards it as a whole, or classifies it.
asio::awaitable<decode_attempt> relay_failure(gateway_state& state, caller_connection& caller,
                                              connection_ptr connection, stream_state& stream) {
    full_response response;
    response.status = connection->status();
    response.head = connection->head();
    response.metadata = state.wire.parse_response(response.head);
    response.error = co_await read_remaining_body(connection, response.body);
    if (!response.error && is_success(response.status)) {
        response.error = errc::bad_response; // Unsigned, so it is not from the engine.
    }
    if (response.error) {
        stream.last_failure = response.error.message();
        stream.execution = execution_state::unknown;
        co_return decode_attempt{attempt_outcome::broken, response.status};
    }
    if (response.metadata.is_not_executed && response.status == status_misdirected) {
        stream.last_failure = "engine restarted or in another role";
        co_return decode_attempt{attempt_outcome::misdirected, response.status};
    }
    if (response.metadata.is_not_executed) {
        stream.last_failure = "refused by the engine";
        co_return decode_attempt{attempt_outcome::refused, response.status};
    }
    stream.execution = execution_state::unknown;
    if (stream.has_started) {
        stream.last_failure = "resuming the stream failed";
        co_return decode_attempt{attempt_outcome::broken, response.status};
    }
    const unsigned status = response.status;
    const bool is_sent = co_await caller.send(make_caller_response(std::move(response)));
    co_return decode_attempt{is_sent ? attempt_outcome::done : attempt_outcome::cut, status};
}

backend_request decode_request(const gateway_state& state, const request_context& request,
                               const decode_reservation& reservation,
                               const std::optional<finished_prefill>& prefill,
                               const stream_state& stream) {
    send_options options;
    options.target = reservation.engine.id;
    options.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline() -
                                                                              state.time.now());
    options.priority = stream.placement.priority;
    options.hold = reservation.hold;
    options.last_event = stream.events.last_event_id();
    if (prefill) {
        options.kv_source = state.wire.make_kv_source(prefill->engine.address, prefill->handle);
    }
    return make_backend_request(state, request, options);
}

/// Returns the connection of a completed attempt to the pool and closes it otherwise.
void release_connection(gateway_state& state, const request_context_ptr& request,
                        const connection_ptr& connection, attempt_outcome outcome) {
    request->detach(connection);
    if (outcome == attempt_outcome::done) {
        state.connections.release(connection, state.time.now());
    } else {
        connection->close();
    }
}

} // namespace

asio::awaitable<decode_attempt> run_decode(gateway_state& state, request_context_ptr request,
                                           caller_connection& caller,
                                           decode_reservation reservation,
                                           std::optional<finished_prefill> prefill,
                                           stream_state& stream) {
    stream.events.discard_partial();
    stream.attempt_began_at = {};
    backend_request outgoing = decode_request(state, *request, reservation, prefill, stream);
    const time_point deadline =
        first_event_deadline(state, *request, stream, stream.sends + 1, state.time.now());
    const open_exchange exchange =
        co_await start_exchange(state, request, reservation.engine, std::move(outgoing), deadline);
    if (exchange.error) {
        stream.last_failure = exchange.error.message();
        const bool is_unsent = is_definitely_unsent(exchange.error);
        if (!is_unsent) {
            ++stream.sends;
            stream.execution = execution_state::unknown;
        }
        if (is_unsent || request->is_ended()) {
            // An unused hold keeps its memory until its lease expires.
            release_reservation(state, reservation);
        }
        if (prefill) {
            release_prefill(state, *prefill);
        }
        decode_attempt failed{is_unsent ? attempt_outcome::refused : attempt_outcome::broken, 0};
        failed.is_connection_lost = exchange.error == errc::connection_lost;
        co_return failed;
    }
    ++stream.sends;
    const connection_ptr connection = exchange.connection;
    const response_metadata metadata = state.wire.parse_response(connection->head());
    if (!is_success(connection->status()) || !metadata.is_signed) {
        if (prefill && metadata.is_not_executed) {
            release_prefill(state, *prefill);
        }
        decode_attempt failed = co_await relay_failure(state, caller, connection, stream);
        if (failed.outcome == attempt_outcome::refused && prefill) {
            // The capacity was reserved, so the engine could not fetch the KV cache.
            failed.outcome = attempt_outcome::prefill_lost;
        }
        release_connection(state, request, connection, failed.outcome);
        co_return failed;
    }
    stream.execution = execution_state::unknown;
    // Taken before the body is read: the parser adds trailer fields to the head.
    field_map head = connection->head();
    remove_connection_fields(head);
    const decode_attempt result =
        co_await relay_events(state, request, caller, connection, head, reservation.engine, stream);
    const bool is_done = result.outcome == attempt_outcome::done;
    if (is_done && !stream.has_started) {
        stream.has_started = true;
        co_await caller.begin_stream(result.status, head);
    }
    release_connection(state, request, connection, result.outcome);
    if (is_done) {
        co_await caller.end_stream();
    }
    co_return result;
}

const char* to_string(attempt_outcome outcome) noexcept {
    switch (outcome) {
    case attempt_outcome::done:
        return "done";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::misdirected:
        return "misdirected";
    case attempt_outcome::prefill_lost:
        return "prefill_lost";
    case attempt_outcome::broken:
        return "broken";
    case attempt_outcome::prefill_failed:
        return "prefill_failed";
    case attempt_outcome::cut:
        return "cut";
    }
    return "unknown";
}

} // namespace cicadahatch::forwarding
