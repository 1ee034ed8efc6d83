#include "src/forwarding/forward.hpp"

#include "src/forwarding/final_answer.hpp"
#include "src/forwarding/plain_forward.hpp"
#include "src/forwarding/stream_forward.hpp"

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// A daemon without a configuration has just started and reads it within some ten milliseconds.
constexpr std::chrono::milliseconds start_retry = 200ms;

/// Buffers are freed as fast as requests end.
constexpr std::chrono::milliseconds memory_retry = 500ms;

/// A caller that is sent away by a daemon that stops finds another one at once.
constexpr std::chrono::milliseconds stopping_retry = 10ms;

/// Whether a daemon that stops would have to break the request off.
bool is_too_late(const gateway_state& state, const routing::route& of) {
    if (!state.is_stopping) {
        return false;
    }
    const time_point now = state.time.now();
    const bool is_stream = of.kind == routing::request_kind::streaming;
    return is_stream ? now > state.last_stream_start : now + of.timeout > state.shutdown_deadline;
}

admission refused(gateway_state& state, const request_id& id, caller_answer answer,
                  std::string_view reason) {
    state.log.write(logging::weight::notable, "request.refused",
                    {{"request", id.str()},
                     {"status", answer.result_int()},
                     {"reason", reason},
                     {"version", state.table ? state.table->version() : 0}});
    return {nullptr, std::move(answer)};
}

} // namespace

admission admit(gateway_state& state, backend_request message) {
    const request_metadata metadata = state.wire.parse_request(message);
    if (!state.table) {
        return refused(state, metadata.id, refusal("no configuration yet", start_retry),
                       "no_configuration");
    }
    const auto host = message[beast_http::field::host];
    const auto target = message.target();
    const routing::route* found =
        state.table->find({host.data(), host.size()}, {target.data(), target.size()});
    if (found == nullptr) {
        return refused(
            state, metadata.id,
            own_answer(static_cast<unsigned>(beast_http::status::not_found), "no such route"),
            "no_route");
    }
    if (is_too_late(state, *found)) {
        return refused(state, metadata.id, refusal("stopping", stopping_retry), "stopping");
    }
    if (state.buffered_bytes + message.body().size() > state.options.max_buffered_bytes) {
        return refused(state, metadata.id, refusal("out of memory for bodies", memory_retry),
                       "memory");
    }
    auto request = std::make_shared<request_context>(state.loop, state.table, *found, metadata,
                                                     state.time.now());
    request->message = std::move(message);
    return {std::move(request), {}};
}

asio::awaitable<void> forward(gateway_state& state, request_context_ptr request,
                              caller_connection& caller) {
    if (request->route().kind == routing::request_kind::streaming) {
        co_await forward_stream(state, request, caller);
    } else {
        co_await forward_plain(state, request, caller);
    }
}

} // namespace cicadahatch::forwarding
