#include "src/engines/internal/requests.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::engines::internal {

using nlohmann::json;

namespace {

json base(const attempt_id& attempt) {
    return {{"request_id", attempt.request.str()}, {"attempt", attempt.number.value()}};
}

int priority_of(rank asked) {
    return asked == rank::urgent ? 1 : 0;
}

http::request post(std::string path, const json& content) {
    http::request sent;
    sent.method = "POST";
    sent.path = std::move(path);
    sent.headers = {{"Content-Type", "application/json"}};
    sent.body = content.dump(-1, ' ', false, json::error_handler_t::replace);
    return sent;
}

const char* name_of(order_kind kind) {
    switch (kind) {
    case order_kind::load_model:
        return "load_model";
    case order_kind::load_adapter:
        return "load_adapter";
    case order_kind::set_role:
        return "set_role";
    }
    return "unknown";
}

} // namespace

http::request to_http(const prefill_request& asked) {
    json content = base(asked.attempt);
    content["model"] = asked.model.str();
    content["prompt"] = asked.prompt;
    content["generated"] = asked.generated;
    content["priority"] = priority_of(asked.priority);
    return post("/v1/prefill", content);
}

http::request to_http(const decode_request& asked) {
    json content = base(asked.attempt);
    content["model"] = asked.model.str();
    content["kv"] = {{"source", to_string(asked.kv_source)}, {"handle", asked.kv_handle}};
    content["position"] = asked.position;
    content["max_tokens"] = asked.max_tokens;
    content["priority"] = priority_of(asked.priority);
    return post("/v1/decode", content);
}

http::request to_http(const order_request& asked) {
    json content{{"kind", name_of(asked.kind)}, {"fencing", asked.fencing.value()}};
    if (asked.kind == order_kind::set_role) {
        content["role"] = asked.role == backend_role::prefill ? "prefill" : "decode";
        return post("/v1/orders", content);
    }
    content["model"] = asked.model.str();
    content["version"] = asked.version;
    if (asked.kind == order_kind::load_adapter) {
        content["adapter"] = asked.adapter;
    }
    return post("/v1/orders", content);
}

http::request to_cancel(const attempt_id& attempt) {
    return post("/v1/cancel", base(attempt));
}

} // namespace cicadahatch::engines::internal
