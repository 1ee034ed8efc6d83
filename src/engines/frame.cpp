#include "src/engines/frame.hpp"

#include "src/engines/error.hpp"

#include <limits>
#include <nlohmann/json.hpp>

namespace cicadahatch::engines {

namespace {

using nlohmann::json;

constexpr std::string_view end_marker = "[DONE]";

bool is_unsigned(const json& data, const char* field) {
    const auto found = data.find(field);
    return found != data.end() && found->is_number_unsigned();
}

bool is_frame(const json& data) {
    if (!data.is_object() || !is_unsigned(data, "attempt") || !is_unsigned(data, "position")) {
        return false;
    }
    const auto text = data.find("text");
    return text != data.end() && text->is_string();
}

} // namespace

result<frame> parse_frame(std::string_view data) {
    frame parsed;
    if (data == end_marker) {
        parsed.is_end = true;
        return parsed;
    }
    const json content = json::parse(data, nullptr, false);
    if (!is_frame(content)) {
        return failure(errc::malformed_frame);
    }
    const auto attempt = content["attempt"].get<std::uint64_t>();
    if (attempt > std::numeric_limits<std::uint32_t>::max()) {
        return failure(errc::malformed_frame);
    }
    parsed.attempt = attempt_number{static_cast<std::uint32_t>(attempt)};
    parsed.position = content["position"].get<std::uint64_t>();
    parsed.text = content["text"].get<std::string>();
    return parsed;
}

} // namespace cicadahatch::engines
