#include "src/serving/answer_writer.hpp"

#include "src/http/constants.hpp"

#include <nlohmann/json.hpp>

namespace cicadahatch::serving {

namespace {

using nlohmann::json;

constexpr std::string_view comment = ": waiting\n\n";
constexpr std::string_view end_mark = "data: [DONE]\n\n";

std::string dump(const json& content) {
    return content.dump(-1, ' ', false, json::error_handler_t::replace);
}

json choice(const std::string& text, const json& finish_reason) {
    return {{"index", 0}, {"text", text}, {"finish_reason", finish_reason}};
}

json head(const request_id& request, const service_id& service) {
    return {{"id", request.str()}, {"object", "text_completion"}, {"model", service.str()}};
}

std::string event(const json& base, std::uint64_t position, const std::string& token) {
    json content = base;
    content["choices"] = json::array({choice(token, nullptr)});
    return "id: " + std::to_string(position) + "\ndata: " + dump(content) + "\n\n";
}

} // namespace

bool answer_writer::check_caller() {
    if (call_.has_begun()) {
        return call_.write(comment);
    }
    return !sends_interim_ || call_.send_interim();
}

bool answer_writer::begin_if_needed() {
    if (call_.has_begun()) {
        return true;
    }
    return call_.begin_stream(http::status_ok, {{"Content-Type", "text/event-stream"},
                                                {"Cache-Control", "no-cache"},
                                                {"X-Request-Id", request_.str()}});
}

bool answer_writer::deliver(std::uint64_t first, const std::vector<std::string>& tokens) {
    if (!is_streamed_ || tokens.empty()) {
        return true;
    }
    const json base = head(request_, service_);
    std::string bytes;
    std::uint64_t position = first;
    for (const std::string& token : tokens) {
        bytes += event(base, position, token);
        ++position;
    }
    return begin_if_needed() && call_.write(bytes);
}

bool answer_writer::finish(const std::string& text, std::uint64_t tokens,
                           std::uint32_t prompt_tokens) {
    if (is_streamed_) {
        return begin_if_needed() && call_.write(end_mark);
    }
    json content = head(request_, service_);
    content["choices"] = json::array({choice(text, "length")});
    content["usage"] = {{"prompt_tokens", prompt_tokens},
                        {"completion_tokens", tokens},
                        {"total_tokens", prompt_tokens + tokens}};
    http::response whole = http::json_response(http::status_ok, dump(content));
    whole.headers.push_back({"X-Request-Id", request_.str()});
    return call_.respond(whole);
}

void answer_writer::fail(const problem& failure) {
    if (call_.has_begun()) {
        call_.write("event: error\ndata: " + to_json(failure, request_) + "\n\n");
        return;
    }
    call_.respond(to_response(failure, request_));
}

} // namespace cicadahatch::serving
