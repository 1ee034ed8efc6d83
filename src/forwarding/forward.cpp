#include "src/forwarding/forward.hpp"

#include "src/forwarding/local_response.hpp"
#include "src/forwarding/plain_forward.hpp"
#include "src/forwarding/stream_forward.hpp"

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// A daemon without a configuration has just started and reads one within some ten milliseconds.
constexpr std::chrono::milliseconds startup_retry_after = 200ms;

/// Buffer memory becomes free as requests end.
constexpr std::chrono::milliseconds memory_retry_after = 500ms;

/// A caller rejected by a stopping daemon can reach another daemon at once.
constexpr std::chrono::milliseconds stopping_retry_after = 10ms;

/// Whether a stopping daemon could not complete the request before it exits.
bool misses_shutdown_deadline(const gateway_state& state, const routing::route& route) {
    if (!state.is_stopping) {
        return false;
    }
    const time_point now = state.time.now();
    const bool is_stream = route.kind == routing::request_kind::streaming;
    return is_stream ? now > state.last_stream_start
                     : now + route.timeout > state.shutdown_deadline;
}

admission reject(gateway_state& state, const request_id& id, caller_response response,
                 std::string_view reason) {
    state.log.write(logging::weight::notable, "request.refused",
                    {{"request", id.str()},
                     {"status", response.result_int()},
                     {"reason", reason},
                     {"version", state.table ? state.table->version() : 0}});
    return {nullptr, std::move(response)};
}

} // namespace

admission admit(gateway_state& state, backend_request message) {
    const request_metadata metadata = state.wire.parse_request(message);
    if (!state.table) {
        return reject(state, metadata.id,
                      unavailable_response("no configuration yet", startup_retry_after),
                      "no_configuration");
    }
    const auto host = message[beast_http::field::host];
    const auto target = message.target();
    const routing::route* found =
        state.table->find({host.data(), host.size()}, {target.data(), target.size()});
    if (found == nullptr) {
        return reject(
            state, metadata.id,
            local_response(static_cast<unsigned>(beast_http::status::not_found), "no such route"),
            "no_route");
    }
    if (misses_shutdown_deadline(state, *found)) {
        return reject(state, metadata.id, unavailable_response("stopping", stopping_retry_after),
                      "stopping");
    }
    if (state.buffered_bytes + message.body().size() > state.options.max_buffered_bytes) {
        return reject(state, metadata.id,
                      unavailable_response("out of memory for bodies", memory_retry_after),
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
