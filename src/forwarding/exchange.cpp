#include "src/forwarding/exchange.hpp"

#include "src/forwarding/constants.hpp"
#include "src/forwarding/error.hpp"

namespace cicadahatch::forwarding {

namespace {

/// Answers to other requests that are dropped before the connection is given up.
constexpr int max_foreign_answers = 3;

asio::awaitable<open_exchange> obtain_connection(gateway_state& state,
                                                 const request_context_ptr& request,
                                                 const discovery::backend& to) {
    open_exchange obtained;
    obtained.connection = state.connections.take(to.id, to.started, state.time.now());
    if (obtained.connection) {
        co_return obtained;
    }
    obtained.connection = std::make_shared<backend_connection>(state.loop, to.id, to.started);
    if (request) {
        request->attach(obtained.connection);
    }
    obtained.connection->expire_at(state.time.now() + connect_timeout);
    state.values
        .counter_of(metrics::metric_name{"cicadahatch_backend_connects_total"},
                    "Connections opened to backend servers")
        .add();
    obtained.error = co_await obtained.connection->connect(to.address);
    if (request) {
        request->detach(obtained.connection);
    }
    co_return obtained;
}

asio::awaitable<std::error_code> drain_answer(connection_ptr connection) {
    std::string dropped;
    std::error_code error;
    while (!error && !connection->is_answer_complete()) {
        error = co_await connection->read_body(dropped);
        dropped.clear();
    }
    co_return error;
}

/// Takes in what a backend server says of itself in the head of any of its answers.
void note_server(gateway_state& state, const discovery::backend& from, unsigned status,
                 const response_metadata& metadata) {
    const bool is_news = metadata.is_leaving && mark_leaving(state, from.id, from.started);
    if (is_news && state.placement != nullptr && from.role != backend_role::plain) {
        state.placement->on_engine_leaving(from);
    }
    const bool is_refusal =
        status == static_cast<unsigned>(beast_http::status::service_unavailable);
    if (!is_refusal || !metadata.retry_after) {
        return;
    }
    auto& load = balancing::load_of(state.loads, from.id, from.started);
    if (balancing::extend_backoff(load, state.time.now() + *metadata.retry_after)) {
        state.log.write(logging::weight::notable, "backend.spared",
                        {{"backend", from.id.str()}, {"for_ms", *metadata.retry_after}});
    }
}

/// Reads heads until one belongs to the request.
asio::awaitable<std::error_code> read_own_head(gateway_state& state, discovery::backend from,
                                               connection_ptr connection, request_id expected) {
    for (int turn = 0; turn <= max_foreign_answers; ++turn) {
        std::error_code error = co_await connection->read_head();
        if (error) {
            co_return error;
        }
        const response_metadata metadata = state.wire.parse_response(connection->head());
        note_server(state, from, connection->status(), metadata);
        // An answer of success without an id is that to a call of the engine's own interface.
        const bool may_lack_id = expected.empty() || !is_success(connection->status());
        if (metadata.id == expected || (metadata.id.empty() && may_lack_id)) {
            co_return error;
        }
        error = co_await drain_answer(connection);
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

asio::awaitable<std::error_code> read_rest(connection_ptr connection, std::string& body) {
    std::error_code error;
    while (!error && !connection->is_answer_complete()) {
        error = co_await connection->read_body(body);
        if (!error && body.size() > max_whole_answer_bytes) {
            error = errc::too_large;
        }
    }
    co_return error;
}

asio::awaitable<open_exchange> open(gateway_state& state, request_context_ptr request,
                                    discovery::backend to, backend_request sent,
                                    time_point silent_at) {
    open_exchange exchange = co_await obtain_connection(state, request, to);
    if (exchange.error) {
        exchange.connection->close();
        co_return exchange;
    }
    if (request) {
        request->attach(exchange.connection);
        if (request->is_ended()) {
            exchange.error = errc::cancelled;
            co_return exchange;
        }
    }
    const request_id expected = state.wire.parse_request(sent).id;
    exchange.connection->expire_at(silent_at);
    exchange.connection->begin(std::move(sent));
    exchange.error = co_await read_own_head(state, to, exchange.connection, expected);
    if (exchange.error) {
        exchange.connection->close();
        if (request) {
            request->detach(exchange.connection);
        }
    }
    co_return exchange;
}

asio::awaitable<full_response> call(gateway_state& state, request_context_ptr request,
                                    discovery::backend to, backend_request sent,
                                    time_point silent_at) {
    full_response answer;
    open_exchange exchange = co_await open(state, request, to, std::move(sent), silent_at);
    answer.error = exchange.error;
    const connection_ptr connection = exchange.connection;
    if (!answer.error) {
        answer.error = co_await read_rest(connection, answer.body);
    }
    if (request) {
        request->detach(connection);
    }
    if (answer.error) {
        connection->close();
        co_return answer;
    }
    answer.status = connection->status();
    answer.head = connection->head();
    answer.metadata = state.wire.parse_response(answer.head);
    state.connections.give_back(connection, state.time.now());
    co_return answer;
}

namespace {

backend_request to_request(const gateway_state& state, const discovery::backend& to,
                           const engine_call& made) {
    backend_request sent;
    sent.version(11);
    sent.method_string(made.method);
    sent.target(made.target);
    sent.set(beast_http::field::host, http::to_string(to.address));
    if (!made.body.empty()) {
        sent.set(beast_http::field::content_type, "application/json");
    }
    state.wire.set_target(sent, to.id);
    sent.body() = made.body;
    sent.prepare_payload();
    return sent;
}

asio::awaitable<void> send_and_forget(gateway_state& state, discovery::backend to,
                                      engine_call made) {
    const full_response answer = co_await call_engine(state, nullptr, to, made);
    if (answer.error) {
        state.log.write(logging::weight::notable, "engine.call.failed",
                        {{"backend", to.id.str()},
                         {"call", made.method + " " + made.target},
                         {"error", answer.error.message()}});
    }
}

} // namespace

asio::awaitable<full_response> call_engine(gateway_state& state, request_context_ptr request,
                                           discovery::backend to, engine_call made) {
    const time_point silent_at = state.time.now() + engine_call_timeout;
    backend_request sent = to_request(state, to, made);
    co_return co_await call(state, request, to, std::move(sent), silent_at);
}

void post_to_engine(gateway_state& state, const discovery::backend& to, engine_call made) {
    asio::co_spawn(state.loop, send_and_forget(state, to, std::move(made)), asio::detached);
}

backend_request prepared(const gateway_state& state, const request_context& request,
                         const send_options& options) {
    backend_request sent = request.message;
    state.wire.set_request_fields(sent, options);
    sent.prepare_payload();
    return sent;
}

} // namespace cicadahatch::forwarding
