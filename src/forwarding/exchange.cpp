#include "src/forwarding/exchange.hpp"

#include "src/forwarding/access.hpp"
#include "src/forwarding/constants.hpp"
#include "src/forwarding/error.hpp"

namespace cicadahatch::forwarding {

namespace {

/// Responses to other requests that are dropped before the connection is closed.
constexpr int max_foreign_responses = 3;

asio::awaitable<open_exchange> acquire_connection(gateway_state& state,
                                                  const request_context_ptr& request,
                                                  const discovery::backend& target) {
    open_exchange exchange;
    exchange.connection = state.connections.acquire(target.id, target.started, state.time.now());
    if (exchange.connection) {
        co_return exchange;
    }
    exchange.connection =
        std::make_shared<backend_connection>(state.loop, target.id, target.started);
    if (request) {
        request->attach(exchange.connection);
    }
    exchange.connection->set_deadline(state.time.now() + connect_timeout);
    state.metric_registry
        .counter_of(metrics::metric_name{"cicadahatch_backend_connects_total"},
                    "Connections opened to backend servers")
        .add();
    exchange.error = co_await exchange.connection->connect(target.address);
    if (request) {
        request->detach(exchange.connection);
    }
    co_return exchange;
}

asio::awaitable<std::error_code> drain_response(connection_ptr connection) {
    std::string dropped;
    std::error_code error;
    while (!error && !connection->is_response_complete()) {
        error = co_await connection->read_body(dropped);
        dropped.clear();
    }
    co_return error;
}

/// Records the leaving and backoff announcements in the head of any response of a backend server.
void record_server_state(gateway_state& state, const discovery::backend& backend, unsigned status,
                         const response_metadata& metadata) {
    const bool is_newly_leaving =
        metadata.is_leaving && mark_leaving(state, backend.id, backend.started);
    if (is_newly_leaving && state.placements != nullptr && backend.role != backend_role::plain) {
        state.placements->on_engine_leaving(backend);
    }
    const bool is_refusal =
        status == static_cast<unsigned>(beast_http::status::service_unavailable);
    if (!is_refusal || !metadata.retry_after) {
        return;
    }
    auto& load = balancing::load_of(state.loads, backend.id, backend.started);
    if (balancing::extend_backoff(load, state.time.now() + *metadata.retry_after)) {
        state.log.write(logging::weight::notable, "backend.spared",
                        {{"backend", backend.id.str()}, {"for_ms", *metadata.retry_after}});
    }
}

/// Records the request limit that a backend server has stated, or that it states none any more.
/// Only a signed response shows the latter: others may come without the server's fields.
void record_request_limit(gateway_state& state, const discovery::backend& backend,
                          const response_metadata& metadata, time_point sent_at) {
    auto& load = balancing::load_of(state.loads, backend.id, backend.started);
    const auto& stated = metadata.max_requests_per_second;
    const bool is_changed = stated ? balancing::state_limit(load, *stated, state.daemons.value,
                                                            state.random, state.time.now())
                                   : metadata.is_signed && balancing::lift_limit(load, sent_at);
    if (!is_changed) {
        return;
    }
    state.log.write(logging::weight::notable, stated ? "backend.limited" : "backend.limit.lifted",
                    {{"backend", backend.id.str()},
                     {"request", metadata.id.str()},
                     {"requests_per_second", stated.value_or(0)},
                     {"daemons", state.daemons.value}});
}

/// Reads response heads until one matches the request.
/// \param sent_at when the request was sent
asio::awaitable<std::error_code> read_matching_head(gateway_state& state,
                                                    discovery::backend backend,
                                                    connection_ptr connection, request_id expected,
                                                    time_point sent_at) {
    for (int skipped = 0; skipped <= max_foreign_responses; ++skipped) {
        std::error_code error = co_await connection->read_head();
        if (error) {
            co_return error;
        }
        const response_metadata metadata = state.wire.parse_response(connection->head());
        record_server_state(state, backend, connection->status(), metadata);
        // A response without an id may be a copy of an earlier one. A success without an id is the
        // response to a call of the engine's management interface.
        const bool is_only_request = connection->is_first_exchange();
        const bool may_lack_id =
            expected.empty() || (is_only_request && !is_success(connection->status()));
        if (metadata.id == expected || (metadata.id.empty() && may_lack_id)) {
            record_request_limit(state, backend, metadata, sent_at);
            co_return error;
        }
        error = co_await drain_response(connection);
        if (error) {
            co_return error;
        }
    }
    co_return make_error_code(errc::bad_response);
}

} // namespace

bool is_success(unsigned status) noexcept {
    constexpr unsigned first_success = 200;
    constexpr unsigned after_success = 300;
    return status >= first_success && status < after_success;
}

asio::awaitable<std::error_code> read_remaining_body(connection_ptr connection, std::string& body) {
    std::error_code error;
    while (!error && !connection->is_response_complete()) {
        error = co_await connection->read_body(body);
        if (!error && body.size() > max_full_response_bytes) {
            error = errc::too_large;
        }
    }
    co_return error;
}

asio::awaitable<open_exchange> start_exchange(gateway_state& state, request_context_ptr request,
                                              discovery::backend target, backend_request outgoing,
                                              time_point deadline) {
    charge_request_limit(state, target);
    open_exchange exchange = co_await acquire_connection(state, request, target);
    if (exchange.error) {
        exchange.connection->close();
        co_return exchange;
    }
    if (request) {
        end_if_access_withdrawn(state, *request);
        request->attach(exchange.connection);
        if (request->is_ended()) {
            exchange.error = errc::cancelled;
            co_return exchange;
        }
    }
    const request_id expected = state.wire.parse_request(outgoing).id;
    exchange.connection->set_deadline(deadline);
    const time_point sent_at = state.time.now();
    exchange.connection->start_request(std::move(outgoing));
    exchange.error =
        co_await read_matching_head(state, target, exchange.connection, expected, sent_at);
    if (exchange.error) {
        exchange.connection->close();
        if (request) {
            request->detach(exchange.connection);
        }
    }
    co_return exchange;
}

asio::awaitable<full_response> send_request(gateway_state& state, request_context_ptr request,
                                            discovery::backend target, backend_request outgoing,
                                            time_point deadline) {
    full_response response;
    open_exchange exchange =
        co_await start_exchange(state, request, target, std::move(outgoing), deadline);
    response.error = exchange.error;
    const connection_ptr connection = exchange.connection;
    if (!response.error) {
        // Taken before the body is read: the parser adds trailer fields to the head.
        response.head = connection->head();
        response.error = co_await read_remaining_body(connection, response.body);
    }
    if (request) {
        request->detach(connection);
    }
    if (response.error) {
        connection->close();
        co_return response;
    }
    response.status = connection->status();
    response.metadata = state.wire.parse_response(response.head);
    state.connections.release(connection, state.time.now());
    co_return response;
}

namespace {

backend_request make_engine_request(const gateway_state& state, const discovery::backend& target,
                                    const engine_call& call) {
    backend_request outgoing;
    outgoing.version(11);
    outgoing.method_string(call.method);
    outgoing.target(call.target);
    outgoing.set(beast_http::field::host, http::to_string(target.address));
    if (!call.body.empty()) {
        outgoing.set(beast_http::field::content_type, "application/json");
    }
    state.wire.set_target(outgoing, target.id);
    outgoing.body() = call.body;
    outgoing.prepare_payload();
    return outgoing;
}

asio::awaitable<void> send_and_log_failure(gateway_state& state, discovery::backend target,
                                           engine_call call) {
    const full_response response = co_await call_engine(state, nullptr, target, call);
    if (response.error) {
        state.log.write(logging::weight::notable, "engine.call.failed",
                        {{"backend", target.id.str()},
                         {"call", call.method + " " + call.target},
                         {"error", response.error.message()}});
    }
}

} // namespace

asio::awaitable<full_response> call_engine(gateway_state& state, request_context_ptr request,
                                           discovery::backend target, engine_call call) {
    const time_point deadline = state.time.now() + engine_call_timeout;
    backend_request outgoing = make_engine_request(state, target, call);
    co_return co_await send_request(state, request, target, std::move(outgoing), deadline);
}

void post_to_engine(gateway_state& state, const discovery::backend& target, engine_call call) {
    asio::co_spawn(state.loop, send_and_log_failure(state, target, std::move(call)),
                   asio::detached);
}

backend_request make_backend_request(const gateway_state& state, const request_context& request,
                                     const send_options& options) {
    backend_request outgoing = request.message;
    state.wire.set_request_fields(outgoing, options);
    outgoing.prepare_payload();
    return outgoing;
}

} // namespace cicadahatch::forwarding
