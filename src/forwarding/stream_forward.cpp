#include "src/forwarding/stream_forward.hpp"

#include "src/forwarding/relay_answer.hpp"
#include "src/forwarding/stream_run.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// When a place is likely to be free again, where no home has told; half of an ordinary stream.
constexpr std::chrono::milliseconds place_retry = 1s;

/// A caller gives up a stream after a silence of two seconds, four times the objective or eight
/// times the pause between events, whichever is longest.
constexpr std::chrono::milliseconds least_abandonment = 2s;
constexpr int abandonment_objectives = 4;
constexpr int abandonment_pauses = 8;

/// Part of that time in which a first event is still aimed at.
constexpr double useful_part = 0.75;

std::chrono::milliseconds longest_wait(const routing::route& of) {
    const std::chrono::milliseconds abandoned =
        std::max({least_abandonment, of.objective * abandonment_objectives,
                  of.inter_event_objective * abandonment_pauses});
    return std::chrono::duration_cast<std::chrono::milliseconds>(abandoned * useful_part);
}

placement_request first_request(gateway_state& state, const request_context& request) {
    placement_request wanted;
    const routing::route& of = request.route();
    wanted.service = routing::choose_service(of, state.random.unit());
    wanted.priority = request.table().priority_level(of, wanted.service);
    wanted.target = of.objective;
    wanted.retry_target = longest_wait(of);
    return wanted;
}

placement_outcome to_end(const request_context& request, attempt_end ended) {
    if (request.ended() == ending::caller_left || ended == attempt_end::cut) {
        return placement_outcome::caller_left;
    }
    switch (ended) {
    case attempt_end::done:
        return placement_outcome::completed;
    case attempt_end::refused:
        return placement_outcome::no_room;
    case attempt_end::prefill_failed:
    case attempt_end::prefill_lost:
        return placement_outcome::prefill_failed;
    case attempt_end::misdirected:
    case attempt_end::broken:
    case attempt_end::cut:
        return placement_outcome::decode_failed;
    }
    return placement_outcome::decode_failed;
}

/// Takes the end of an attempt into what is known of its engines.
void settle(gateway_state& state, const request_context& request, const held_place& place,
            const decode_attempt& made, stream_run& run) {
    auto& load = balancing::load_of(state.loads, place.engine.id, place.engine.started);
    load.reserved_tokens -= std::min<std::uint64_t>(load.reserved_tokens, place.tokens);
    load.running -= std::min(load.running, 1U);
    const bool is_failure =
        made.ended == attempt_end::broken || made.ended == attempt_end::misdirected;
    if (is_failure && !request.is_ended()) {
        run.failed.push_back(place.engine.id);
        balancing::record_failure(load, state.options.ejection, state.time.now());
    } else if (made.ended == attempt_end::done) {
        balancing::record_success(load);
    }
    if (place.is_granted) {
        const bool is_done = made.ended == attempt_end::done;
        state.placement->on_attempt_ended(request, run.wanted, to_end(request, made.ended),
                                          is_done ? tokens_made(request, run) : 0);
    }
}

void log_attempt(gateway_state& state, const request_context& request, const held_place& place,
                 const std::optional<kept_prefill>& kept, const decode_attempt& made,
                 const stream_run& run) {
    state.log.write(made.ended == attempt_end::done ? logging::weight::routine
                                                    : logging::weight::notable,
                    "stream.attempt",
                    {{"request", request.metadata().id.str()},
                     {"attempt", run.wanted.attempt.value()},
                     {"decode", place.engine.id.str()},
                     {"prefill", kept ? kept->engine.id.str() : std::string{}},
                     {"granted", place.is_granted},
                     {"ended", to_string(made.ended)},
                     {"status", made.status},
                     {"events", run.events.events()},
                     {"last_event", run.events.last_event().value_or(0)},
                     {"reason", run.reason}});
}

/// Finds a place, has the prompt read and decodes.
asio::awaitable<decode_attempt> attempt(gateway_state& state, request_context_ptr request,
                                        caller_connection& caller, stream_run& run) {
    std::optional<held_place> place = co_await find_place(state, request, run);
    if (!place) {
        co_return decode_attempt{};
    }
    // A repeat beyond the budget is spared by the decode engine, which can read the prompt too.
    place->reads_itself = place->reads_itself || !may_prefill(state, run);
    std::optional<kept_prefill> kept;
    if (!place->reads_itself) {
        kept = co_await read_prompt(state, request, *place, run);
    }
    decode_attempt made;
    const bool is_lost = !kept && place->is_granted && !place->reads_itself;
    if (request->is_ended() || is_lost) {
        release_place(state, *place);
        if (kept) {
            release_prefill(state, *kept);
        }
        made.ended = attempt_end::prefill_failed;
    } else {
        if (kept && place->is_granted) {
            state.placement->on_prefill_finished(*request, run.wanted);
        }
        // Without a prefill engine the decode engine reads the prompt itself.
        made = co_await decode(state, request, caller, *place, kept, run);
    }
    settle(state, *request, *place, made, run);
    log_attempt(state, *request, *place, kept, made, run);
    co_return made;
}

/// \returns whether another engine may take the request up, and charges the repeat
bool may_go_on(gateway_state& state, const request_context& request, const stream_run& run,
               attempt_end ended) {
    const bool is_repeatable = run.reached == progress::unsent || request.route().is_resumable;
    const bool has_attempts = run.sends < request.route().max_attempts;
    if (request.is_ended() || ended == attempt_end::done || ended == attempt_end::cut) {
        return false;
    }
    if (run.is_refused || !is_repeatable || !has_attempts) {
        return false;
    }
    return run.sends == 0 || scheduling::take_retry(retries_of(state, run.wanted.service));
}

/// A stream that has begun has met its objective or missed it; what counts now is that the rest
/// comes before the caller gives up. It goes behind streams that can still be on time.
void ask_for_the_rest(stream_run& run, const request_context& request, time_point now) {
    run.wanted.target = longest_wait(request.route());
    run.wanted.target_start = now;
    run.wanted.is_late = true;
}

asio::awaitable<void> finish_failed(gateway_state& state, request_context_ptr request,
                                    caller_connection& caller, const stream_run& run) {
    unsigned status = 0;
    if (run.has_begun) {
        caller.abort();
    } else if (request->ended() != ending::caller_left) {
        const auto retry_after = run.retry_after > 0ms ? run.retry_after : place_retry;
        caller_answer answer = failure_answer(run.reached, request->ended(), retry_after);
        status = answer.result_int();
        co_await caller.send(std::move(answer));
    }
    log_end(state, *request, status, run.has_begun ? "cut" : "failed", run.reason, run.sends);
}

} // namespace

asio::awaitable<void> forward_stream(gateway_state& state, request_context_ptr request,
                                     caller_connection& caller) {
    stream_run run;
    run.wanted = first_request(state, *request);
    if (request->metadata().last_event) {
        run.events.skip_through(*request->metadata().last_event);
    }
    scheduling::record_request(retries_of(state, run.wanted.service));
    decode_attempt made = co_await attempt(state, request, caller, run);
    while (may_go_on(state, *request, run, made.ended)) {
        if (run.has_begun) {
            ask_for_the_rest(run, *request, state.time.now());
        }
        made = co_await attempt(state, request, caller, run);
    }
    if (made.ended == attempt_end::done) {
        log_end(state, *request, made.status, "answered", "", run.sends);
        co_return;
    }
    co_await finish_failed(state, request, caller, run);
}

} // namespace cicadahatch::forwarding
