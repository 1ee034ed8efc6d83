#include "src/forwarding/stream_state.hpp"

#include "src/balancing/kv_reservation.hpp"
#include "src/forwarding/error.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Time for which an engine that has refused a reservation is not asked again when no home is
/// reachable. Streams produce an event about every 60 ms, and capacity becomes free when streams
/// end.
constexpr std::chrono::milliseconds full_engine_backoff = 30ms;

/// Lease of a reservation if the service sets none.
constexpr std::chrono::milliseconds default_lease = 2s;

/// Grants tried before the request is refused. A grant may fail because the home's view of an
/// engine lags by some milliseconds, and after a network partition two homes may grant the same
/// engines.
constexpr int max_grants = 6;

/// Events covered by the reservation of a granted placement; the home accounts for the rest.
constexpr std::uint32_t reserved_events = 2;

constexpr unsigned status_ok = 200;

const routing::engine_traits* traits_of(const request_context& request,
                                        const stream_state& stream) {
    return request.table().find_traits(stream.placement.service);
}

std::chrono::milliseconds lease_for(const request_context& request, const stream_state& stream) {
    const routing::engine_traits* traits = traits_of(request, stream);
    return traits == nullptr || traits->max_reservation_lease <= 0ms
               ? default_lease
               : traits->max_reservation_lease;
}

std::uint32_t initial_hold_tokens(const request_context& request, const stream_state& stream) {
    const routing::engine_traits* traits = traits_of(request, stream);
    const std::uint32_t tokens_per_event = traits == nullptr ? 1 : traits->tokens_per_event;
    return request.metadata().prompt_tokens + stream.placement.generated_tokens +
           reserved_events * tokens_per_event;
}

std::uint32_t full_hold_tokens(const request_context& request) {
    const request_metadata& metadata = request.metadata();
    return balancing::kv_reservation_tokens(
        {metadata.prompt_tokens, metadata.max_output_tokens, metadata.expected_output_tokens});
}

/// A reservation, or whether the engine refused it rather than failed.
struct reservation_result {
    std::optional<decode_reservation> reservation;
    bool is_refused = false;
};

/// Reserves memory and a slot on one engine.
asio::awaitable<reservation_result> reserve_on_engine(gateway_state& state,
                                                      request_context_ptr request,
                                                      discovery::backend engine,
                                                      std::uint32_t tokens, stream_state& stream) {
    const engine_call call = state.wire.make_hold_call(tokens, lease_for(*request, stream));
    const full_response response = co_await call_engine(state, request, engine, call);
    auto& load = balancing::load_of(state.loads, engine.id, engine.started);
    std::string hold;
    if (!response.error && response.status == status_ok) {
        hold = state.wire.parse_hold(response.body).value_or(std::string{});
    }
    state.log.write(hold.empty() ? logging::weight::notable : logging::weight::routine,
                    "place.asked",
                    {{"request", request->metadata().id.str()},
                     {"backend", engine.id.str()},
                     {"tokens", tokens},
                     {"own_tokens", load.reserved_tokens},
                     {"status", response.status},
                     {"error", response.error ? response.error.message() : std::string{}}});
    if (hold.empty()) {
        const bool is_failure = response.error && response.error != errc::cancelled;
        if (is_failure) {
            balancing::record_failure(load, state.options.ejection, state.time.now());
        }
        load.full_until = state.time.now() + full_engine_backoff;
        co_return reservation_result{std::nullopt, !response.error};
    }
    load.reserved_tokens += tokens;
    ++load.running;
    decode_reservation reservation;
    reservation.engine = engine;
    reservation.hold = hold;
    reservation.tokens = tokens;
    co_return reservation_result{reservation, false};
}

std::vector<discovery::backend> available_decode_engines(gateway_state& state,
                                                         const stream_state& stream) {
    auto available = available_backends(state, stream.placement.service);
    std::erase_if(available, [&stream](const discovery::backend* engine) {
        const bool has_failed =
            std::find(stream.failed_engines.begin(), stream.failed_engines.end(), engine->id) !=
            stream.failed_engines.end();
        return engine->role != backend_role::decode || has_failed;
    });
    std::vector<discovery::backend> engines;
    for (const auto* engine :
         balancing::sort_decode_engines(std::move(available), make_selection_context(state))) {
        engines.push_back(*engine);
    }
    return engines;
}

asio::awaitable<std::optional<decode_reservation>>
reserve_without_home(gateway_state& state, request_context_ptr request, stream_state& stream) {
    const std::vector<discovery::backend> engines = available_decode_engines(state, stream);
    for (const discovery::backend& engine : engines) {
        if (request->is_ended()) {
            break;
        }
        reservation_result attempted =
            co_await reserve_on_engine(state, request, engine, full_hold_tokens(*request), stream);
        if (attempted.reservation) {
            co_return attempted.reservation;
        }
    }
    stream.is_refused = true;
    stream.last_failure = "no decode engine has room";
    co_return std::nullopt;
}

/// Reserves the placement granted by the home, if the engine accepts.
asio::awaitable<reservation_result> reserve_granted(gateway_state& state,
                                                    request_context_ptr request,
                                                    engine_placement granted,
                                                    stream_state& stream) {
    const discovery::backend* decode = state.backends.find(granted.decode);
    if (decode == nullptr || !is_available(state, *decode)) {
        co_return reservation_result{std::nullopt, true};
    }
    const discovery::backend engine = *decode;
    reservation_result attempted = co_await reserve_on_engine(
        state, request, engine, initial_hold_tokens(*request, stream), stream);
    if (!attempted.reservation) {
        co_return attempted;
    }
    auto& reservation = attempted.reservation;
    reservation->is_granted = true;
    reservation->prefills_locally = granted.prefill.empty() || granted.prefill == granted.decode;
    const discovery::backend* prefill = state.backends.find(granted.prefill);
    if (!reservation->prefills_locally && prefill != nullptr && is_available(state, *prefill)) {
        reservation->prefill = *prefill;
    }
    co_return attempted;
}

} // namespace

std::uint32_t count_generated_tokens(const request_context& request, const stream_state& stream) {
    const routing::engine_traits* traits = traits_of(request, stream);
    const std::uint64_t tokens_per_event = traits == nullptr ? 1 : traits->tokens_per_event;
    return static_cast<std::uint32_t>(stream.events.event_count() * tokens_per_event);
}

asio::awaitable<std::optional<decode_reservation>>
reserve_decode_engine(gateway_state& state, request_context_ptr request, stream_state& stream) {
    stream.placement.generated_tokens = count_generated_tokens(*request, stream);
    for (int grant = 0; grant < max_grants && !request->is_ended(); ++grant) {
        stream.placement.attempt = attempt_number{stream.placement.attempt.value() + 1};
        stream.placement.excluded_engines = unavailable_backends(state, stream.placement.service);
        const placement_response response =
            co_await state.placements->request_placement(request, stream.placement);
        if (response.result == placement_response::outcome::unreachable) {
            co_return co_await reserve_without_home(state, request, stream);
        }
        if (response.result == placement_response::outcome::refused) {
            stream.is_refused = true;
            stream.last_failure = response.reason;
            stream.retry_after = response.retry_after;
            co_return std::nullopt;
        }
        reservation_result attempted =
            co_await reserve_granted(state, request, response.placement, stream);
        if (attempted.reservation) {
            co_return attempted.reservation;
        }
        const auto outcome =
            attempted.is_refused ? placement_outcome::no_room : placement_outcome::decode_failed;
        state.placements->on_attempt_ended(
            *request, stream.placement,
            request->is_ended() ? placement_outcome::caller_left : outcome, 0);
    }
    stream.is_refused = true;
    stream.last_failure = "granted places had no room";
    co_return std::nullopt;
}

void release_reservation(gateway_state& state, const decode_reservation& reservation) {
    post_to_engine(state, reservation.engine, state.wire.make_release_hold_call(reservation.hold));
}

} // namespace cicadahatch::forwarding
