#include "src/serving/completion_request.hpp"

#include "src/core/constants.hpp"
#include "src/core/hash.hpp"
#include "src/serving/constants.hpp"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>

namespace cicadahatch::serving {

namespace {

using nlohmann::json;
using parsed_completion = tl::expected<completion_request, problem>;

tl::unexpected<problem> bad_field(std::string name) {
    return tl::unexpected(problem{errc::bad_field, execution::not_run, {}, std::move(name)});
}

bool is_count(const json& value) {
    return value.is_number_unsigned() && value.get<std::uint64_t>() > 0 &&
           value.get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
}

bool is_name(const json& content, const char* field) {
    const auto found = content.find(field);
    if (found == content.end() || !found->is_string()) {
        return false;
    }
    const auto& text = found->get_ref<const std::string&>();
    return !text.empty() && text.size() <= max_name_bytes;
}

parsed_completion read_fields(const json& content) {
    if (!is_name(content, "model")) {
        return bad_field("model");
    }
    const auto prompt = content.find("prompt");
    if (prompt == content.end() || !prompt->is_string() || prompt->get<std::string>().empty()) {
        return bad_field("prompt");
    }
    completion_request read;
    read.service = service_id{content["model"].get<std::string>()};
    read.prompt = prompt->get<std::string>();
    if (const auto bound = content.find("max_tokens"); bound != content.end()) {
        if (!is_count(*bound)) {
            return bad_field("max_tokens");
        }
        read.max_tokens = bound->get<std::uint32_t>();
    }
    if (const auto streamed = content.find("stream"); streamed != content.end()) {
        if (!streamed->is_boolean()) {
            return bad_field("stream");
        }
        read.is_streamed = streamed->get<bool>();
    }
    return read;
}

/// Tells broken UTF-8 from other faults of the syntax, for the caller's sake.
bool is_utf8(std::string_view bytes) {
    try {
        static_cast<void>(json(std::string{bytes}).dump());
        return true;
    } catch (const json::type_error&) {
        return false;
    }
}

} // namespace

parsed_completion parse_completion(std::string_view body) {
    const json content = json::parse(body, nullptr, false);
    if (content.is_discarded()) {
        const errc code = is_utf8(body) ? errc::bad_json : errc::bad_utf8;
        return tl::unexpected(problem{code, execution::not_run, {}, {}});
    }
    if (!content.is_object()) {
        return tl::unexpected(problem{errc::bad_json, execution::not_run, {}, {}});
    }
    return read_fields(content);
}

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt) {
    std::vector<std::uint64_t> hashes;
    for (std::size_t end = prefix_block_bytes;
         end <= prompt.size() && hashes.size() < max_prefix_hashes; end += prefix_block_bytes) {
        hashes.push_back(stable_hash(prompt.substr(0, end)));
    }
    return hashes;
}

std::uint32_t tokens_of_block(std::string_view prompt, std::uint32_t prompt_tokens) {
    const std::size_t bytes = std::max<std::size_t>(prompt.size(), 1);
    const std::size_t tokens = prompt_tokens * prefix_block_bytes / bytes;
    return static_cast<std::uint32_t>(std::max<std::size_t>(tokens, 1));
}

} // namespace cicadahatch::serving
