#include "src/settings/internal/document.hpp"

#include "src/settings/constants.hpp"

#include <charconv>
#include <json/reader.h>
#include <memory>
#include <nlohmann/json.hpp>

namespace cicadahatch::settings::internal {

namespace {

/// jsoncpp reports each fault as "* Line N, Column M\n  text\n".
constexpr std::string_view line_prefix = "* Line ";
constexpr std::string_view duplicate_prefix = "  Duplicate key: '";

std::string_view next_line(std::string_view& rest) {
    const std::size_t end = rest.find('\n');
    const std::string_view line = rest.substr(0, end);
    rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    return line;
}

void check_encoding(std::string_view text, fault_list& faults) {
    int number = 0;
    while (!text.empty()) {
        ++number;
        if (!is_utf8(next_line(text))) {
            faults.add_at_line(number, "", errc::broken_encoding, "UTF-8");
            return;
        }
    }
}

int line_number(std::string_view line) {
    int number = 0;
    const std::string_view digits = line.substr(line_prefix.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

void add_syntax_fault(int line, std::string_view detail, fault_list& faults) {
    if (detail.starts_with(duplicate_prefix)) {
        std::string_view name = detail.substr(duplicate_prefix.size());
        name = name.substr(0, name.rfind('\''));
        faults.add_at_line(line, std::string{name}, errc::duplicate, "each name once");
        return;
    }
    const std::size_t begin = detail.find_first_not_of(" *");
    detail = begin == std::string_view::npos ? std::string_view{} : detail.substr(begin);
    faults.add_at_line(line, "", errc::syntax, "JSON with comments (" + std::string{detail} + ")");
}

/// Only the first fault is kept: after it, jsoncpp reports faults that follow from it.
void add_first_syntax_fault(std::string_view report, fault_list& faults) {
    while (!report.empty()) {
        const std::string_view line = next_line(report);
        if (line.starts_with(line_prefix)) {
            add_syntax_fault(line_number(line), next_line(report), faults);
            return;
        }
    }
    faults.add_at_line(0, "", errc::syntax, "JSON with comments");
}

std::unique_ptr<Json::CharReader> make_reader() {
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    builder["collectComments"] = false;
    builder["stackLimit"] = max_nesting;
    return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

} // namespace

bool is_utf8(std::string_view bytes) {
    try {
        static_cast<void>(nlohmann::json(bytes).dump());
        return true;
    } catch (const nlohmann::json::type_error&) {
        return false;
    }
}

Json::Value parse_document(std::string_view text, fault_list& faults) {
    if (text.size() > max_file_bytes) {
        faults.add_at_line(0, "", errc::too_large,
                           "at most " + std::to_string(max_file_bytes) + " bytes");
        return {};
    }
    check_encoding(text, faults);
    if (!faults.empty()) {
        return {};
    }
    Json::Value root;
    std::string report;
    try {
        if (!make_reader()->parse(text.data(), text.data() + text.size(), &root, &report)) {
            add_first_syntax_fault(report, faults);
        }
    } catch (const Json::Exception&) {
        faults.add_at_line(0, "", errc::syntax,
                           "at most " + std::to_string(max_nesting) + " levels of nesting");
    }
    return root;
}

} // namespace cicadahatch::settings::internal
