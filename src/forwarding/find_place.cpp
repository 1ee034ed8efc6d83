#include "src/forwarding/stream_run.hpp"

#include "src/balancing/hold_size.hpp"
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

const routing::engine_traits* traits_of(const request_life& life, const stream_run& run) {
    return life.table().find_traits(run.wanted.service);
}

std::chrono::milliseconds lease_for(const request_life& life, const stream_run& run) {
    const routing::engine_traits* traits = traits_of(life, run);
    return traits == nullptr || traits->longest_lease <= 0ms ? default_lease
                                                             : traits->longest_lease;
}

std::uint32_t first_tokens(const request_life& life, const stream_run& run) {
    const routing::engine_traits* traits = traits_of(life, run);
    const std::uint32_t event = traits == nullptr ? 1 : traits->tokens_per_event;
    return life.facts().prompt_tokens + run.wanted.generated_tokens + reserved_events * event;
}

std::uint32_t all_tokens(const request_life& life) {
    const caller_facts& facts = life.facts();
    return balancing::hold_tokens(
        {facts.prompt_tokens, facts.max_output_tokens, facts.expected_output_tokens});
}

/// A place at an engine, or whether the engine has refused it rather than failed.
struct place_attempt {
    std::optional<held_place> place;
    bool is_refused = false;
};

/// Reserves memory and a slot at one engine.
asio::awaitable<place_attempt> take_place(gateway_state& state, life_ptr life,
                                          discovery::backend engine, std::uint32_t tokens,
                                          stream_run& run) {
    const engine_call made = state.wire.hold_call(tokens, lease_for(*life, run));
    const whole_answer answer = co_await call_engine(state, life, engine, made);
    auto& load = balancing::load_of(state.loads, engine.id, engine.started);
    std::string hold;
    if (!answer.error && answer.status == status_ok) {
        hold = state.wire.read_hold(answer.body).value_or(std::string{});
    }
    state.log.write(hold.empty() ? logging::weight::notable : logging::weight::routine,
                    "place.asked",
                    {{"request", life->facts().id.str()},
                     {"backend", engine.id.str()},
                     {"tokens", tokens},
                     {"own_tokens", load.held_tokens},
                     {"status", answer.status},
                     {"error", answer.error ? answer.error.message() : std::string{}}});
    if (hold.empty()) {
        const bool is_failure = answer.error && answer.error != errc::cancelled;
        if (is_failure) {
            balancing::record_failure(load, state.rules.ejection, state.time.now());
        }
        load.full_until = state.time.now() + full_pause;
        co_return place_attempt{std::nullopt, !answer.error};
    }
    load.held_tokens += tokens;
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
    for (const auto* row : balancing::order_decode(std::move(open), inputs_of(state))) {
        copied.push_back(*row);
    }
    return copied;
}

asio::awaitable<std::optional<held_place>> take_any_place(gateway_state& state, life_ptr life,
                                                          stream_run& run) {
    const std::vector<discovery::backend> engines = open_decodes(state, run);
    for (const discovery::backend& engine : engines) {
        if (life->is_over()) {
            break;
        }
        place_attempt taken = co_await take_place(state, life, engine, all_tokens(*life), run);
        if (taken.place) {
            co_return taken.place;
        }
    }
    run.is_refused = true;
    run.reason = "no decode engine has room";
    co_return std::nullopt;
}

/// Takes the place that the home has granted, if the engine agrees.
asio::awaitable<place_attempt> take_granted(gateway_state& state, life_ptr life,
                                            granted_place granted, stream_run& run) {
    const discovery::backend* decode = state.backends.find(granted.decode);
    if (decode == nullptr || !is_usable(state, *decode)) {
        co_return place_attempt{std::nullopt, true};
    }
    const discovery::backend engine = *decode;
    place_attempt taken = co_await take_place(state, life, engine, first_tokens(*life, run), run);
    if (!taken.place) {
        co_return taken;
    }
    auto& place = taken.place;
    place->is_granted = true;
    place->reads_itself = granted.prefill.empty() || granted.prefill == granted.decode;
    const discovery::backend* prefill = state.backends.find(granted.prefill);
    if (!place->reads_itself && prefill != nullptr && is_usable(state, *prefill)) {
        place->prefill = *prefill;
    }
    co_return taken;
}

} // namespace

std::uint32_t tokens_made(const request_life& life, const stream_run& run) {
    const routing::engine_traits* traits = traits_of(life, run);
    const std::uint64_t event = traits == nullptr ? 1 : traits->tokens_per_event;
    return static_cast<std::uint32_t>(run.events.events() * event);
}

asio::awaitable<std::optional<held_place>> find_place(gateway_state& state, life_ptr life,
                                                      stream_run& run) {
    run.wanted.generated_tokens = tokens_made(*life, run);
    for (int turn = 0; turn < max_grants && !life->is_over(); ++turn) {
        run.wanted.attempt = attempt_number{run.wanted.attempt.value() + 1};
        run.wanted.avoided = spared_backends(state, run.wanted.service);
        const placement_answer answer = co_await state.places->ask(life, run.wanted);
        if (answer.is == placement_answer::kind::unreachable) {
            co_return co_await take_any_place(state, life, run);
        }
        if (answer.is == placement_answer::kind::refused) {
            run.is_refused = true;
            run.reason = answer.reason;
            run.retry_after = answer.retry_after;
            co_return std::nullopt;
        }
        place_attempt taken = co_await take_granted(state, life, answer.place, run);
        if (taken.place) {
            co_return taken.place;
        }
        const auto why = taken.is_refused ? placement_end::no_room : placement_end::decode_failed;
        state.places->ended(*life, run.wanted, life->is_over() ? placement_end::caller_left : why,
                            0);
    }
    run.is_refused = true;
    run.reason = "granted places had no room";
    co_return std::nullopt;
}

void release_place(gateway_state& state, const held_place& place) {
    post_to_engine(state, place.engine, state.wire.release_hold_call(place.hold));
}

} // namespace cicadahatch::forwarding
