#include "src/serving/problem.hpp"

#include "src/http/constants.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::serving {

namespace {

using nlohmann::json;

const char* name_of(execution ran) {
    switch (ran) {
    case execution::not_run:
        return "not_run";
    case execution::unknown:
        return "unknown";
    case execution::completed:
        return "completed";
    }
    return "unknown";
}

long long whole_seconds(std::chrono::milliseconds wait) {
    return std::chrono::ceil<std::chrono::seconds>(wait).count();
}

} // namespace

int status_of(const problem& refusal) {
    switch (refusal.code) {
    case errc::bad_json:
    case errc::bad_utf8:
    case errc::bad_field:
    case errc::bad_header:
    case errc::key_required:
        return http::status_bad_request;
    case errc::unauthorized:
        return http::status_unauthorized;
    case errc::unknown_service:
    case errc::unknown_path:
        return http::status_not_found;
    case errc::method_not_allowed:
        return http::status_method_not_allowed;
    case errc::prompt_too_long:
    case errc::output_too_long:
    case errc::key_reused:
        return http::status_unprocessable;
    case errc::key_expired:
    case errc::already_completed:
    case errc::in_progress:
    case errc::outcome_unknown:
        return http::status_conflict;
    case errc::overloaded:
    case errc::deadline_unreachable:
        return http::status_too_many_requests;
    case errc::backend_failed:
    case errc::caller_gone:
        return http::status_bad_gateway;
    case errc::no_backend:
    case errc::not_ready:
    case errc::shutting_down:
    case errc::store_unavailable:
        return http::status_unavailable;
    }
    return http::status_internal_error;
}

metrics::request_outcome outcome_of(const problem& refusal) {
    if (is_callers_doing(refusal.code)) {
        return metrics::request_outcome::rejected;
    }
    return refusal.ran == execution::not_run ? metrics::request_outcome::refused
                                             : metrics::request_outcome::failed;
}

std::string to_json(const problem& refusal, const request_id& request) {
    const std::string code = std::error_code(refusal.code).message();
    json content{{"type", "urn:cicadahatch:problem:" + code},
                 {"title", code},
                 {"code", code},
                 {"status", status_of(refusal)},
                 {"execution", name_of(refusal.ran)},
                 {"request_id", request.str()}};
    if (!refusal.field.empty()) {
        content["field"] = refusal.field;
    }
    if (refusal.retry_after.count() > 0) {
        content["retry_after_ms"] = refusal.retry_after.count();
    }
    return content.dump(-1, ' ', false, json::error_handler_t::replace);
}

http::response to_response(const problem& refusal, const request_id& request) {
    http::response answer;
    answer.status = status_of(refusal);
    answer.headers = {{"Content-Type", "application/problem+json"},
                      {"X-Request-Id", request.str()}};
    if (refusal.retry_after.count() > 0) {
        const auto seconds = whole_seconds(refusal.retry_after);
        answer.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    answer.body = to_json(refusal, request);
    return answer;
}

} // namespace cicadahatch::serving
