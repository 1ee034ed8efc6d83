#include "test/fakes/fake_engine/state.hpp"

#include <map>
#include <nlohmann/json.hpp>
#include <thread>

namespace fake_engine {

using cicadahatch::http::exchange;
using cicadahatch::http::find_header;
using cicadahatch::http::json_response;
using nlohmann::json;

namespace {

fault fault_named(const std::string& name) {
    static const std::map<std::string, fault> names = {{"none", fault::none},
                                                       {"hang", fault::hang},
                                                       {"refuse", fault::refuse},
                                                       {"die_mid_stream", fault::die_mid_stream},
                                                       {"repeat_frames", fault::repeat_frames},
                                                       {"reorder_frames", fault::reorder_frames},
                                                       {"run_then_close", fault::run_then_close}};
    const auto found = names.find(name);
    return found == names.end() ? fault::none : found->second;
}

json to_json(const run_record& record) {
    return {{"kind", record.kind},     {"request_id", record.request},
            {"key", record.key},       {"attempt", record.attempt},
            {"tokens", record.tokens}, {"is_used", record.is_used}};
}

std::int64_t milliseconds_of(cicadahatch::time_point moment) {
    const auto since = moment.time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

json to_json(const order_record& record) {
    json made = json::parse(record.text);
    made["began_ms"] = milliseconds_of(record.began);
    made["ended_ms"] = milliseconds_of(record.ended);
    made["is_refused"] = record.is_refused;
    return made;
}

std::size_t remember_run(state& engine, const exchange& call) {
    const auto& headers = call.request().headers;
    const std::string* key = find_header(headers, "Idempotency-Key");
    const std::string* request = find_header(headers, "X-Request-Id");
    run_record record;
    record.kind = "plain";
    record.request = request == nullptr ? "" : *request;
    record.key = key == nullptr ? "" : *key;
    const std::lock_guard lock{engine.mutex};
    engine.records.push_back(record);
    return engine.records.size();
}

} // namespace

void handle_control(state& engine, exchange& call) {
    const json asked = json::parse(call.request().body, nullptr, false);
    if (!asked.is_object()) {
        call.respond(json_response(400, "{}"));
        return;
    }
    const std::lock_guard lock{engine.mutex};
    if (asked.contains("fault")) {
        engine.current_fault = fault_named(asked["fault"]);
    }
    engine.is_leaving = asked.value("leaving", engine.is_leaving);
    engine.cancels_to_lose = asked.value("lose_cancels", engine.cancels_to_lose);
    const auto transfer = engine.configured.transfer_time.count();
    engine.configured.transfer_time =
        std::chrono::milliseconds{asked.value("transfer_ms", transfer)};
    const auto interval = engine.configured.token_interval.count();
    engine.configured.token_interval =
        std::chrono::milliseconds{asked.value("token_interval_ms", interval)};
    engine.changed.notify_all();
    call.respond(json_response(200, "{}"));
}

void handle_record(state& engine, exchange& call) {
    const std::lock_guard lock{engine.mutex};
    expire_holdings(engine);
    json runs = json::array();
    for (const run_record& record : engine.records) {
        runs.push_back(to_json(record));
    }
    json held = json::array();
    for (const auto& [handle, kept] : engine.holdings) {
        held.push_back({{"request_id", kept.request}, {"attempt", kept.attempt}});
    }
    json orders = json::array();
    for (const order_record& record : engine.orders) {
        orders.push_back(to_json(record));
    }
    const json answer{
        {"runs", runs}, {"held", held}, {"orders", orders}, {"transfers", engine.transfers}};
    call.respond(json_response(200, answer.dump()));
}

void handle_plain(state& engine, exchange& call) {
    {
        const std::lock_guard lock{engine.mutex};
        if (engine.is_leaving) {
            call.respond(json_response(503, R"({"code":"leaving","execution":"not_run"})"));
            return;
        }
    }
    const std::size_t number = remember_run(engine, call);
    std::this_thread::sleep_for(engine.configured.plain_delay);
    if (engine.current_fault == fault::run_then_close) {
        call.abandon();
        return;
    }
    const json answer{{"run", number},
                      {"server", to_string(engine.place)},
                      {"path", call.request().path},
                      {"echo", call.request().body}};
    call.respond(json_response(200, answer.dump()));
}

} // namespace fake_engine
