#include "src/forwarding/stream_run.hpp"

#include "src/balancing/kv_reservation.hpp"
#include "src/forwarding/error.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Time for which an engine that has refused a place is not asked again without a home: streams
/// make an event about every 60 ms, and places come free at ends of streams.
constexpr std::chrono::milliseconds full_pause = 30ms;

/// Lease of a place where the service states none.
constexpr std::chrono::milliseconds default_lease = 2s;

/// Places that a home may grant in vain, as its view of an engine lags by some milliseconds; after
/// a cut two homes may grant places at the same engines.
constexpr int max_grants = 6;

/// Events for which a granted place keeps room; the home keeps room for the rest.
constexpr std::uint32_t reserved_events = 2;

constexpr unsigned status_ok = 200;

const routing::engine_traits* traits_of(const request_context& request, const stream_run& run) {
    return request.table().find_traits(run.wanted.service);
}

std::chrono::milliseconds lease_for(const request_context& request, const stream_run& run) {
    const routing::engine_traits* traits = traits_of(request, run);
    return traits == nullptr || traits->max_reservation_lease <= 0ms
               ? default_lease
               : traits->max_reservation_lease;
}

std::uint32_t first_tokens(const request_context& request, const stream_run& run) {
    const routing::engine_traits* traits = traits_of(request, run);
    const std::uint32_t event = traits == nullptr ? 1 : traits->tokens_per_event;
    return request.metadata().prompt_tokens + run.wanted.generated_tokens + reserved_events * event;
}

std::uint32_t all_tokens(const request_context& request) {
    const request_metadata& metadata = request.metadata();
    return balancing::kv_reservation_tokens(
        {metadata.prompt_tokens, metadata.max_output_tokens, metadata.expected_output_tokens});
}

/// A place at an engine, or whether the engine has refused it rather than failed.
struct place_attempt {
    std::optional<held_place> place;
    bool is_refused = false;
};

/// Reserves memory and a slot at one engine.
asio::awaitable<place_attempt> take_place(gateway_state& state, request_context_ptr request,
                                          discovery::backend engine, std::uint32_t tokens,
                                          stream_run& run) {
    const engine_call made = state.wire.make_hold_call(tokens, lease_for(*request, run));
    const full_response answer = co_await call_engine(state, request, engine, made);
    auto& load = balancing::load_of(state.loads, engine.id, engine.started);
    std::string hold;
    if (!answer.error && answer.status == status_ok) {
        hold = state.wire.parse_hold(answer.body).value_or(std::string{});
    }
    state.log.write(hold.empty() ? logging::weight::notable : logging::weight::routine,
                    "place.asked",
                    {{"request", request->metadata().id.str()},
                     {"backend", engine.id.str()},
                     {"tokens", tokens},
                     {"own_tokens", load.reserved_tokens},
                     {"status", answer.status},
                     {"error", answer.error ? answer.error.message() : std::string{}}});
    if (hold.empty()) {
        const bool is_failure = answer.error && answer.error != errc::cancelled;
        if (is_failure) {
            balancing::record_failure(load, state.options.ejection, state.time.now());
        }
        load.full_until = state.time.now() + full_pause;
        co_return place_attempt{std::nullopt, !answer.error};
    }
    load.reserved_tokens += tokens;
    ++load.running;
    held_place place;
    place.engine = engine;
    place.hold = hold;
    place.tokens = tokens;
    co_return place_attempt{place, false};
}

std::vector<discovery::backend> open_decodes(gateway_state& state, const stream_run& run) {
    auto open = usable_backends(state, run.wanted.service);
    std::erase_if(open, [&run](const discovery::backend* engine) {
        const bool has_failed =
            std::find(run.failed.begin(), run.failed.end(), engine->id) != run.failed.end();
        return engine->role != backend_role::decode || has_failed;
    });
    std::vector<discovery::backend> copied;
    for (const auto* row : balancing::sort_decode_engines(std::move(open), inputs_of(state))) {
        copied.push_back(*row);
    }
    return copied;
}

asio::awaitable<std::optional<held_place>>
take_any_place(gateway_state& state, request_context_ptr request, stream_run& run) {
    const std::vector<discovery::backend> engines = open_decodes(state, run);
    for (const discovery::backend& engine : engines) {
        if (request->is_ended()) {
            break;
        }
        place_attempt taken =
            co_await take_place(state, request, engine, all_tokens(*request), run);
        if (taken.place) {
            co_return taken.place;
        }
    }
    run.is_refused = true;
    run.reason = "no decode engine has room";
    co_return std::nullopt;
}

/// Takes the place that the home has granted, if the engine agrees.
asio::awaitable<place_attempt> take_granted(gateway_state& state, request_context_ptr request,
                                            engine_placement granted, stream_run& run) {
    const discovery::backend* decode = state.backends.find(granted.decode);
    if (decode == nullptr || !is_available(state, *decode)) {
        co_return place_attempt{std::nullopt, true};
    }
    const discovery::backend engine = *decode;
    place_attempt taken =
        co_await take_place(state, request, engine, first_tokens(*request, run), run);
    if (!taken.place) {
        co_return taken;
    }
    auto& place = taken.place;
    place->is_granted = true;
    place->reads_itself = granted.prefill.empty() || granted.prefill == granted.decode;
    const discovery::backend* prefill = state.backends.find(granted.prefill);
    if (!place->reads_itself && prefill != nullptr && is_available(state, *prefill)) {
        place->prefill = *prefill;
    }
    co_return taken;
}

} // namespace

std::uint32_t tokens_made(const request_context& request, const stream_run& run) {
    const routing::engine_traits* traits = traits_of(request, run);
    const std::uint64_t event = traits == nullptr ? 1 : traits->tokens_per_event;
    return static_cast<std::uint32_t>(run.events.events() * event);
}

asio::awaitable<std::optional<held_place>>
find_place(gateway_state& state, request_context_ptr request, stream_run& run) {
    run.wanted.generated_tokens = tokens_made(*request, run);
    for (int turn = 0; turn < max_grants && !request->is_ended(); ++turn) {
        run.wanted.attempt = attempt_number{run.wanted.attempt.value() + 1};
        run.wanted.excluded_engines = spared_backends(state, run.wanted.service);
        const placement_response answer =
            co_await state.placement->request_placement(request, run.wanted);
        if (answer.result == placement_response::outcome::unreachable) {
            co_return co_await take_any_place(state, request, run);
        }
        if (answer.result == placement_response::outcome::refused) {
            run.is_refused = true;
            run.reason = answer.reason;
            run.retry_after = answer.retry_after;
            co_return std::nullopt;
        }
        place_attempt taken = co_await take_granted(state, request, answer.placement, run);
        if (taken.place) {
            co_return taken.place;
        }
        const auto why =
            taken.is_refused ? placement_outcome::no_room : placement_outcome::decode_failed;
        state.placement->on_attempt_ended(
            *request, run.wanted, request->is_ended() ? placement_outcome::caller_left : why, 0);
    }
    run.is_refused = true;
    run.reason = "granted places had no room";
    co_return std::nullopt;
}

void release_place(gateway_state& state, const held_place& place) {
    post_to_engine(state, place.engine, state.wire.make_release_hold_call(place.hold));
}

} // namespace cicadahatch::forwarding
