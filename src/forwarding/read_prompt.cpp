#include "src/forwarding/stream_run.hpp"

#include "src/forwarding/error.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

constexpr unsigned status_ok = 200;

/// The engine that the home has chosen, or all of them in the order of their load.
std::vector<discovery::backend> engines_for(gateway_state& state, const held_place& place,
                                            const stream_run& run) {
    if (place.is_granted) {
        return place.prefill ? std::vector{*place.prefill} : std::vector<discovery::backend>{};
    }
    auto open = usable_backends(state, run.wanted.service);
    std::erase_if(open, [](const discovery::backend* engine) {
        return engine->role != backend_role::prefill;
    });
    std::vector<discovery::backend> sorted;
    for (const auto* row : balancing::sort_prefill_engines(open, inputs_of(state))) {
        sorted.push_back(*row);
    }
    return sorted;
}

/// A prefill waits for at most one other, and prompts differ by a factor of about two.
constexpr int patience_prefills = 4;

/// Half of the objective is left for another engine, if this one is silent.
time_point silent_at(const gateway_state& state, const request_context& request,
                     const balancing::backend_load& load) {
    const duration half = duration{request.route().objective} / 2;
    const bool is_known = load.prefill_time > duration::zero();
    const duration usual = load.prefill_time * patience_prefills;
    const duration allowed = is_known ? std::clamp(usual, half / 2, half * 2) : half;
    return std::min(request.deadline(), state.time.now() + allowed);
}

send_options prefill_options(const gateway_state& state, const request_context& request,
                             const discovery::backend& to, const stream_run& run) {
    send_options options;
    options.target = to.id;
    options.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline() -
                                                                              state.time.now());
    options.priority = run.wanted.priority;
    options.is_prefill_only = true;
    options.last_event = run.events.last_event();
    return options;
}

} // namespace

bool may_prefill(gateway_state& state, const stream_run& run) {
    return run.prefills == 0 || scheduling::take_retry(retries_of(state, run.wanted.service));
}

asio::awaitable<std::optional<kept_prefill>>
read_prompt(gateway_state& state, request_context_ptr request, held_place place, stream_run& run) {
    const std::vector<discovery::backend> engines = engines_for(state, place, run);
    bool is_first = true;
    for (const discovery::backend& engine : engines) {
        if (request->is_ended() || (!is_first && !may_prefill(state, run))) {
            break;
        }
        is_first = false;
        const time_point begun = state.time.now();
        auto& before = balancing::load_of(state.loads, engine.id, engine.started);
        ++before.prefills;
        const time_point silent = silent_at(state, *request, before);
        backend_request sent =
            prepared(state, *request, prefill_options(state, *request, engine, run));
        const full_response answer = co_await call(state, request, engine, std::move(sent), silent);
        auto& load = balancing::load_of(state.loads, engine.id, engine.started);
        load.prefills -= std::min(load.prefills, 1U);
        if (answer.error != errc::connect_failed) {
            ++run.prefills;
        }
        const duration taken = state.time.now() - begun;
        std::string handle;
        if (!answer.error && answer.status == status_ok) {
            const auto finished = state.wire.parse_prefill(answer.body);
            handle = finished ? finished->handle : std::string{};
        }
        state.log.write(handle.empty() ? logging::weight::notable : logging::weight::routine,
                        "prefill.done",
                        {{"request", request->metadata().id.str()},
                         {"backend", engine.id.str()},
                         {"own_prefills", load.prefills},
                         {"taken_ms", taken},
                         {"status", answer.status},
                         {"error", answer.error ? answer.error.message() : std::string{}}});
        if (!handle.empty()) {
            balancing::record_success(load);
            balancing::record_prefill(load, taken);
            co_return kept_prefill{engine, handle};
        }
        if (answer.error != errc::cancelled) {
            balancing::record_failure(load, state.options.ejection, state.time.now());
        }
        run.reason = "prefill failed";
    }
    co_return std::nullopt;
}

void release_prefill(gateway_state& state, const kept_prefill& kept) {
    post_to_engine(state, kept.engine, state.wire.make_release_handle_call(kept.handle));
}

} // namespace cicadahatch::forwarding
