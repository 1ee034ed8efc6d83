#include "src/engines/internal/responses.hpp"

#include "src/engines/error.hpp"
#include "src/http/constants.hpp"
#include "src/http/error.hpp"

namespace cicadahatch::engines::internal {

using nlohmann::json;

std::error_code to_engine_error(const std::error_code& transport) {
    return http::is_surely_unsent(transport) ? errc::not_reached : errc::no_response;
}

std::error_code to_engine_error(const http::response& response) {
    if (response.status == http::status_not_found) {
        return errc::malformed_response;
    }
    const json content = json::parse(response.body, nullptr, false);
    if (!content.is_object()) {
        return errc::no_response;
    }
    const auto code = content.find("code");
    const std::string error_code = code != content.end() && code->is_string() ? *code : json("");
    if (error_code == "cancelled") {
        return errc::cancelled;
    }
    if (error_code == "kv_gone") {
        return errc::kv_gone;
    }
    if (error_code == "leaving") {
        return errc::leaving;
    }
    if (error_code == "stale_fencing") {
        return errc::stale_fencing;
    }
    const auto execution = content.find("execution");
    const bool did_nothing = execution != content.end() && *execution == "not_run";
    return did_nothing ? errc::refused : errc::no_response;
}

result<json> parse_object(const result<http::response>& response) {
    if (!response) {
        return tl::unexpected(to_engine_error(response.error()));
    }
    if (response->status != http::status_ok) {
        return tl::unexpected(to_engine_error(*response));
    }
    json content = json::parse(response->body, nullptr, false);
    if (!content.is_object()) {
        return failure(errc::malformed_response);
    }
    return content;
}

} // namespace cicadahatch::engines::internal
