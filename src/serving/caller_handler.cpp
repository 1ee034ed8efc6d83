#include "src/serving/caller_handler.hpp"

#include "src/http/constants.hpp"
#include "src/serving/completion_request.hpp"
#include "src/serving/completion_session.hpp"
#include "src/serving/problem.hpp"

namespace cicadahatch::serving {

namespace {

constexpr std::string_view completions_path = "/v1/completions";
constexpr std::chrono::milliseconds retry_after_overload{500};
constexpr std::chrono::milliseconds retry_after_shutdown{100};

void refuse(http::exchange& call, const request_id& request, const problem& refusal) {
    call.respond(to_response(refusal, echoed_id(call.request(), request)));
}

problem not_run(errc code, std::chrono::milliseconds retry_after = {}, std::string field = {}) {
    return {code, execution::not_run, retry_after, std::move(field)};
}

/// \returns what is wrong with a request for a service, if anything
std::optional<problem> check_bounds(const completion_request& asked,
                                    const settings::service& service, std::uint32_t prompt_tokens) {
    if (prompt_tokens > service.max_prompt_tokens) {
        return not_run(errc::prompt_too_long, {}, "prompt");
    }
    if (asked.max_tokens > service.max_output_tokens) {
        return not_run(errc::output_too_long, {}, "max_tokens");
    }
    return std::nullopt;
}

} // namespace

bool caller_handler::is_ready() const {
    return !drain_.is_draining() && !shared_.directory.configured().empty();
}

void caller_handler::handle(http::exchange& call) {
    const std::string& path = call.request().path;
    if (path == "/live") {
        call.respond(http::json_response(http::status_ok, R"({"live":true})"));
        return;
    }
    if (path == "/ready") {
        const int status = is_ready() ? http::status_ok : http::status_unavailable;
        const char* body = is_ready() ? R"({"ready":true})" : R"({"ready":false})";
        call.respond(http::json_response(status, body));
        return;
    }
    const request_id request = shared_.naming.next();
    if (refuse_if_unable(call, request)) {
        return;
    }
    if (path == completions_path) {
        return complete(call, request);
    }
    if (path.rfind(plain_path_prefix, 0) == 0) {
        return plain_.handle(call, request, is_overloaded());
    }
    refuse(call, request, not_run(errc::unknown_path));
}

bool caller_handler::refuse_if_unable(http::exchange& call, const request_id& request) {
    if (drain_.is_draining()) {
        refuse(call, request, not_run(errc::shutting_down, retry_after_shutdown));
        return true;
    }
    if (shared_.directory.configured().empty()) {
        refuse(call, request, not_run(errc::not_ready, retry_after_overload));
        return true;
    }
    return false;
}

bool caller_handler::is_overloaded() const {
    return free_workers_() < shared_.configured.reserved_workers;
}

void caller_handler::complete(http::exchange& call, const request_id& request) {
    if (call.request().method != "POST") {
        return refuse(call, request, not_run(errc::method_not_allowed));
    }
    auto asked = parse_completion(call.request().body);
    if (!asked) {
        return refuse(call, request, asked.error());
    }
    auto service = shared_.directory.service(asked->service);
    if (!service || service->kind != settings::service_kind::model) {
        return refuse(call, request, not_run(errc::unknown_service, {}, "model"));
    }
    const std::uint32_t tokens = shared_.estimator.tokens(service->model, asked->prompt.size());
    if (const auto fault = check_bounds(*asked, *service, tokens)) {
        return refuse(call, request, *fault);
    }
    completion_session session{shared_, call, request, std::move(*service), std::move(*asked)};
    if (is_overloaded()) {
        return session.refuse(not_run(errc::overloaded, retry_after_overload));
    }
    session.run();
}

} // namespace cicadahatch::serving
