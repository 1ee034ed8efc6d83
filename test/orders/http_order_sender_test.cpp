#include "cicadahatch/core"
#include "cicadahatch/http"
#include "cicadahatch/orders"

#include <atomic>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace orders;
using nlohmann::json;

struct sender_fixture {
    manual_clock time;
    std::atomic<int> received_count{0};
    json last_order;
    http::response answer = http::json_response(200, "{}");
    std::unique_ptr<http::server> engine =
        http::server_builder{}
            .listen_on({"127.0.0.1", 0})
            .handle_with([this](http::exchange& call) { receive(call); })
            .build()
            .value();
    http_order_sender sender{time, 5s};

    void receive(http::exchange& call) {
        ++received_count;
        last_order = json::parse(call.request().body);
        call.respond(answer);
    }

    std::error_code send(duration time_left) {
        order sent;
        sent.kind = order_kind::load_adapter;
        sent.model = model_id{"model"};
        sent.version = "2";
        sent.adapter = "lace";
        sent.address = to_string(engine->place());
        const auto done = sender.send(sent, fencing_number{7}, time.now() + time_left);
        return done ? std::error_code{} : done.error();
    }
};

} // namespace

TEST_CASE_FIXTURE(sender_fixture, "order sender, engine executes the order, all fields are sent") {
    CHECK_FALSE(send(1s));
    const json expected{{"kind", "load_adapter"},
                        {"model", "model"},
                        {"version", "2"},
                        {"adapter", "lace"},
                        {"fencing", 7}};
    CHECK(last_order == expected);
}

TEST_CASE_FIXTURE(sender_fixture, "order sender, send deadline has passed, sends nothing") {
    CHECK(send(-1ms) == errc::too_late);
    CHECK(received_count == 0);
}

TEST_CASE_FIXTURE(sender_fixture,
                  "order sender, engine refuses or fails, maps the error and sends once") {
    answer = http::json_response(409, R"({"code":"stale_fencing","execution":"not_run"})");
    CHECK(send(1s) == errc::stale_fencing);
    answer = http::json_response(503, R"({"code":"leaving","execution":"not_run"})");
    CHECK(send(1s) == errc::refused);
    answer = http::json_response(500, "{}");
    CHECK(send(1s) == errc::outcome_unknown);
    CHECK(received_count == 3);
    engine.reset();
}

TEST_CASE_FIXTURE(sender_fixture, "order sender, engine is unreachable, sends nothing") {
    const std::string address = to_string(engine->place());
    engine.reset();
    order sent;
    sent.address = address;
    const auto done = sender.send(sent, fencing_number{7}, time.now() + 1s);
    REQUIRE_FALSE(done);
    CHECK(done.error() == errc::unreachable);
}
