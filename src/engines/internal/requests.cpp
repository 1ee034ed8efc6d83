#include "src/engines/internal/requests.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::engines::internal {

using nlohmann::json;

namespace {

json attempt_fields(const attempt_id& attempt) {
    return {{"request_id", attempt.request.str()}, {"attempt", attempt.number.value()}};
}

int priority_of(rank requested) {
    return requested == rank::urgent ? 1 : 0;
}

http::request post(std::string path, const json& content) {
    http::request request;
    request.method = "POST";
    request.path = std::move(path);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = content.dump(-1, ' ', false, json::error_handler_t::replace);
    return request;
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

http::request to_http(const prefill_request& request) {
    json content = attempt_fields(request.attempt);
    content["model"] = request.model.str();
    content["prompt"] = request.prompt;
    content["generated"] = request.generated;
    content["priority"] = priority_of(request.priority);
    return post("/v1/prefill", content);
}

http::request to_http(const decode_request& request) {
    json content = attempt_fields(request.attempt);
    content["model"] = request.model.str();
    content["kv"] = {{"source", to_string(request.kv_source)}, {"handle", request.kv_handle}};
    content["position"] = request.position;
    content["max_tokens"] = request.max_tokens;
    content["priority"] = priority_of(request.priority);
    return post("/v1/decode", content);
}

http::request to_http(const order_request& request) {
    json content{{"kind", name_of(request.kind)}, {"fencing", request.fencing.value()}};
    if (request.kind == order_kind::set_role) {
        content["role"] = request.role == backend_role::prefill ? "prefill" : "decode";
        return post("/v1/orders", content);
    }
    content["model"] = request.model.str();
    content["version"] = request.version;
    if (request.kind == order_kind::load_adapter) {
        content["adapter"] = request.adapter;
    }
    return post("/v1/orders", content);
}

http::request to_cancel_request(const attempt_id& attempt) {
    return post("/v1/cancel", attempt_fields(attempt));
}

} // namespace cicadahatch::engines::internal
