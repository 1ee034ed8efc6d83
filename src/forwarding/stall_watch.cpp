#include "src/forwarding/stall_watch.hpp"

#include "src/forwarding/constants.hpp"
#include "src/forwarding/exchange.hpp"

namespace cicadahatch::forwarding {

struct stall_watch::watched_stream {
    request_context_ptr request;
    connection_ptr connection;
    discovery::backend engine;
    std::function<bool()> may_leave;
    asio::steady_timer timer;
    stall silence;
    bool has_ended = false;
};

namespace {

asio::awaitable<bool> has_engine_responded(gateway_state& state, discovery::backend engine) {
    const full_response response =
        co_await call_engine(state, nullptr, engine, state.wire.make_report_call());
    // A restarted engine has lost its streams.
    co_return !response.error && response.status != status_misdirected;
}

void record_stall(gateway_state& state, const request_context& request,
                  const discovery::backend& engine, const stall& silence, bool is_abandoned) {
    state.metric_registry
        .counter_of(metrics::metric_name{"cicadahatch_stalled_streams_checked_total"},
                    "Checks of engines whose streams were silent")
        .add();
    state.log.write(logging::weight::notable, "stream.stalled",
                    {{"request", request.metadata().id.str()},
                     {"backend", engine.id.str()},
                     {"silent_ms", duration{state.time.now() - silence.last_event_at}},
                     {"missed_checks", silence.missed_checks},
                     {"abandoned", is_abandoned}});
}

} // namespace

stall_watch::stall_watch(gateway_state& state, request_context_ptr request,
                         connection_ptr connection, discovery::backend engine,
                         std::function<bool()> may_leave)
    : state_(state),
      watched_(std::make_shared<watched_stream>(watched_stream{std::move(request),
                                                               std::move(connection),
                                                               std::move(engine),
                                                               std::move(may_leave),
                                                               asio::steady_timer{state.loop},
                                                               {}})) {}

stall_watch::~stall_watch() {
    watched_->has_ended = true;
    net_error ignored; // Without a pending wait, the watch ends at its next wake-up.
    watched_->timer.cancel(ignored);
}

void stall_watch::record_event() {
    const routing::route& route = watched_->request->route();
    forwarding::record_event(watched_->silence, state_.time.now(), route.inter_event_objective);
    if (!is_started_ && route.is_resumable) {
        is_started_ = true;
        asio::co_spawn(state_.loop, run(state_, watched_), asio::detached);
    }
}

asio::awaitable<void> stall_watch::run(gateway_state& state, watched_stream_ptr watched) {
    const std::chrono::milliseconds gap = watched->request->route().inter_event_objective;
    stall& silence = watched->silence;
    while (!watched->has_ended) {
        watched->timer.expires_at(silence.next_check_at);
        net_error ignored; // The wait ends with its time or with the stream.
        co_await watched->timer.async_wait(capture_error(ignored));
        if (watched->has_ended || !is_check_due(silence, state.time.now())) {
            continue;
        }
        watched->connection->enable_keepalive();
        const time_point silent_since = silence.last_event_at;
        const bool has_responded = co_await has_engine_responded(state, watched->engine);
        if (watched->has_ended || silence.last_event_at != silent_since) {
            continue;
        }
        const bool is_unreachable = record_check(silence, has_responded, state.time.now(), gap);
        const bool is_abandoned = is_unreachable && watched->may_leave();
        record_stall(state, *watched->request, watched->engine, silence, is_abandoned);
        if (is_abandoned) {
            watched->connection->expire();
            co_return;
        }
    }
}

} // namespace cicadahatch::forwarding
