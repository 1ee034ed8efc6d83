#include "test/fakes/fake_engine/state.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>

namespace fake_engine {

using cicadahatch::http::exchange;
using cicadahatch::http::json_response;
using nlohmann::json;
using std::chrono::steady_clock;

namespace {

void refuse(exchange& call, int status, const std::string& code) {
    call.respond(json_response(status, json{{"code", code}, {"execution", "not_run"}}.dump()));
}

/// Call with the mutex held.
order_record& remember_order(state& engine, const json& asked, bool is_refused) {
    const auto now = steady_clock::now();
    return engine.orders.emplace_back(order_record{asked.dump(), now, now, is_refused});
}

/// Call with the mutex held.
void carry_out(state& engine, const json& asked) {
    const std::string kind = asked.value("kind", "");
    if (kind == "set_role") {
        engine.configured.role = asked.value("role", engine.configured.role);
    }
    if (kind == "load_model") {
        engine.configured.model = asked.value("model", engine.configured.model);
        engine.configured.version = asked.value("version", engine.configured.version);
        engine.adapters.clear();
    }
    if (kind == "load_adapter") {
        engine.adapters.push_back(asked.value("adapter", ""));
    }
}

} // namespace

void handle_order(state& engine, exchange& call) {
    const json asked = json::parse(call.request().body, nullptr, false);
    if (!asked.is_object()) {
        return refuse(call, 400, "bad_request");
    }
    std::unique_lock lock{engine.mutex};
    const std::uint64_t fencing = asked.value("fencing", std::uint64_t{0});
    if (engine.configured.checks_fencing && fencing < engine.highest_fencing) {
        remember_order(engine, asked, true);
        return refuse(call, 409, "stale_fencing");
    }
    engine.highest_fencing = std::max(engine.highest_fencing, fencing);
    order_record& record = remember_order(engine, asked, false);
    lock.unlock();
    std::this_thread::sleep_for(engine.configured.order_time);
    lock.lock();
    carry_out(engine, asked);
    record.ended = steady_clock::now();
    call.respond(json_response(200, "{}"));
}

} // namespace fake_engine
