#include "test/support/order_relay.hpp"

namespace cicadahatch::test_support {

namespace {

constexpr std::chrono::seconds forward_timeout{10};

} // namespace

order_relay::order_relay(http::endpoint engine) : engine_(std::move(engine)) {
    server_ = http::server_builder{}
                  .listen_on({"127.0.0.1", 0})
                  .handle_with([this](http::exchange& call) { forward(call); })
                  .build()
                  .value();
}

bool order_relay::is_holding() const {
    const std::lock_guard lock{mutex_};
    return has_held_ && !is_let_go_;
}

void order_relay::let_go() {
    const std::lock_guard lock{mutex_};
    is_let_go_ = true;
    changed_.notify_all();
}

void order_relay::hold() {
    std::unique_lock lock{mutex_};
    if (has_held_) {
        return;
    }
    has_held_ = true;
    changed_.wait(lock, [this] { return is_let_go_; });
}

void order_relay::forward(http::exchange& call) {
    const http::request& received = call.request();
    if (received.path == "/v1/orders") {
        hold();
    }
    const http::request sent{received.method, received.path, received.query, {}, received.body};
    const auto answer = http::call(engine_, sent, forward_timeout);
    call.respond(answer ? http::json_response(answer->status, answer->body)
                        : http::json_response(http::status_bad_gateway, "{}"));
}

} // namespace cicadahatch::test_support
