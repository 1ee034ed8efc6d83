#include "src/forwarding/stream_state.hpp"

#include "src/forwarding/error.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

constexpr unsigned status_ok = 200;

/// The engine chosen by the home, or all prefill engines in order of preference if no home granted
/// the reservation.
std::vector<discovery::backend> prefill_candidates(gateway_state& state,
                                                   const decode_reservation& reservation,
                                                   const stream_state& stream) {
    if (reservation.is_granted) {
        return reservation.prefill ? std::vector{*reservation.prefill}
                                   : std::vector<discovery::backend>{};
    }
    auto available = available_backends(state, stream.placement.service);
    std::erase_if(available, [](const discovery::backend* engine) {
        return engine->role != backend_role::prefill;
    });
    std::vector<discovery::backend> sorted;
    for (const auto* engine :
         balancing::sort_prefill_engines(available, make_selection_context(state))) {
        sorted.push_back(*engine);
    }
    return sorted;
}

/// Timeout of a prefill as a multiple of the engine's usual prefill time: a prefill waits for at
/// most one other, and prompts differ by a factor of about two.
constexpr int prefill_timeout_factor = 4;

/// Deadline for the response of a prefill engine. Half of the objective is left for another engine
/// if this one does not respond.
time_point prefill_deadline(const gateway_state& state, const request_context& request,
                            const balancing::backend_load& load) {
    const duration half = duration{request.route().objective} / 2;
    const bool is_known = load.prefill_time > duration::zero();
    const duration usual = load.prefill_time * prefill_timeout_factor;
    const duration allowed = is_known ? std::clamp(usual, half / 2, half * 2) : half;
    return std::min(request.deadline(), state.time.now() + allowed);
}

send_options prefill_options(const gateway_state& state, const request_context& request,
                             const discovery::backend& target, const stream_state& stream) {
    send_options options;
    options.target = target.id;
    options.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline() -
                                                                              state.time.now());
    options.priority = stream.placement.priority;
    options.is_prefill_only = true;
    options.last_event = stream.events.last_event_id();
    return options;
}

} // namespace

bool try_charge_prefill(gateway_state& state, const stream_state& stream) {
    return stream.prefill_calls == 0 ||
           scheduling::take_retry(retry_budget_of(state, stream.placement.service));
}

asio::awaitable<std::optional<finished_prefill>> run_prefill(gateway_state& state,
                                                             request_context_ptr request,
                                                             decode_reservation reservation,
                                                             stream_state& stream) {
    const std::vector<discovery::backend> engines = prefill_candidates(state, reservation, stream);
    bool is_first = true;
    for (const discovery::backend& engine : engines) {
        if (request->is_ended() || (!is_first && !try_charge_prefill(state, stream))) {
            break;
        }
        is_first = false;
        const time_point started_at = state.time.now();
        auto& load_at_start = balancing::load_of(state.loads, engine.id, engine.started);
        ++load_at_start.prefills;
        const time_point deadline = prefill_deadline(state, *request, load_at_start);
        backend_request outgoing =
            make_backend_request(state, *request, prefill_options(state, *request, engine, stream));
        const full_response response =
            co_await send_request(state, request, engine, std::move(outgoing), deadline);
        auto& load = balancing::load_of(state.loads, engine.id, engine.started);
        load.prefills -= std::min(load.prefills, 1U);
        if (response.error != errc::connect_failed) {
            ++stream.prefill_calls;
        }
        const duration elapsed = state.time.now() - started_at;
        std::string handle;
        if (!response.error && response.status == status_ok) {
            const auto finished = state.wire.parse_prefill(response.body);
            handle = finished ? finished->handle : std::string{};
        }
        state.log.write(handle.empty() ? logging::weight::notable : logging::weight::routine,
                        "prefill.done",
                        {{"request", request->metadata().id.str()},
                         {"backend", engine.id.str()},
                         {"own_prefills", load.prefills},
                         {"taken_ms", elapsed},
                         {"status", response.status},
                         {"error", response.error ? response.error.message() : std::string{}}});
        if (!handle.empty()) {
            balancing::record_success(load);
            balancing::record_prefill(load, elapsed);
            co_return finished_prefill{engine, handle};
        }
        if (response.error != errc::cancelled) {
            balancing::record_failure(load, state.options.ejection, state.time.now());
        }
        stream.last_failure = "prefill failed";
    }
    co_return std::nullopt;
}

void release_prefill(gateway_state& state, const finished_prefill& prefill) {
    post_to_engine(state, prefill.engine, state.wire.make_release_handle_call(prefill.handle));
}

} // namespace cicadahatch::forwarding
