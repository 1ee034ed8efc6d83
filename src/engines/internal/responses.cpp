#include "src/engines/internal/responses.hpp"

#include "src/engines/error.hpp"
#include "src/http/constants.hpp"
#include "src/http/error.hpp"

namespace cicadahatch::engines::internal {

using nlohmann::json;

std::error_code to_engine_error(const std::error_code& transport) {
    return http::is_surely_unsent(transport) ? errc::not_reached : errc::no_response;
}

std::error_code to_engine_error(const http::response& answer) {
    if (answer.status == http::status_not_found) {
        return errc::malformed_response;
    }
    const json content = json::parse(answer.body, nullptr, false);
    if (!content.is_object()) {
        return errc::no_response;
    }
    const auto code = content.find("code");
    const std::string named = code != content.end() && code->is_string() ? *code : json("");
    if (named == "cancelled") {
        return errc::cancelled;
    }
    if (named == "kv_gone") {
        return errc::kv_gone;
    }
    if (named == "leaving") {
        return errc::leaving;
    }
    if (named == "stale_fencing") {
        return errc::stale_fencing;
    }
    const auto execution = content.find("execution");
    const bool did_nothing = execution != content.end() && *execution == "not_run";
    return did_nothing ? errc::refused : errc::no_response;
}

result<json> parse_object(const result<http::response>& answer) {
    if (!answer) {
        return tl::unexpected(to_engine_error(answer.error()));
    }
    if (answer->status != http::status_ok) {
        return tl::unexpected(to_engine_error(*answer));
    }
    json content = json::parse(answer->body, nullptr, false);
    if (!content.is_object()) {
        return failure(errc::malformed_response);
    }
    return content;
}

} // namespace cicadahatch::engines::internal
