#include "test/support/backend_control.hpp"

#include "test/support/http_calls.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::test_support {

namespace {

using nlohmann::json;

json record_of(const http::endpoint& backend) {
    return json::parse(fetch(backend, "/test/record"), nullptr, false);
}

} // namespace

void control_backend(const http::endpoint& backend, const std::string& body) {
    post(backend, "/test/control", body);
}

void set_fault(const http::endpoint& backend, const std::string& fault) {
    control_backend(backend, json{{"fault", fault}}.dump());
}

std::vector<backend_run> runs_at(const http::endpoint& backend) {
    std::vector<backend_run> runs;
    const json record = record_of(backend);
    if (!record.is_object()) {
        return runs;
    }
    for (const json& run : record["runs"]) {
        runs.push_back({run["kind"], run["request_id"], run["key"]});
    }
    return runs;
}

std::size_t held_at(const http::endpoint& backend) {
    const json record = record_of(backend);
    return record.is_object() ? record["held"].size() : 0;
}

std::size_t transfers_at(const http::endpoint& backend) {
    const json record = record_of(backend);
    return record.is_object() ? record["transfers"].get<std::size_t>() : 0;
}

void set_platform_mode(const http::endpoint& platform, const std::string& mode, int count,
                       std::chrono::milliseconds delay) {
    const json asked{{"mode", mode}, {"count", count}, {"delay_ms", delay.count()}};
    post(platform, "/control", asked.dump());
}

std::size_t held_replies(const http::endpoint& platform) {
    const json counters = json::parse(fetch(platform, "/control/counters"), nullptr, false);
    return counters.is_object() ? counters["held_replies"].get<std::size_t>() : 0;
}

std::string text_field(const std::string& json_text, const std::string& name) {
    const json content = json::parse(json_text, nullptr, false);
    return content.is_object() ? content.value(name, "") : std::string{};
}

} // namespace cicadahatch::test_support
