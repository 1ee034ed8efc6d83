#include "src/settings/internal/codec.hpp"

#include "src/core/constants.hpp"
#include "src/http/endpoint.hpp"
#include "src/settings/internal/document.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace cicadahatch::settings::internal {

namespace {

using text_check = std::function<bool(const std::string&)>;

bool is_letter_or_digit(char byte) {
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') ||
           (byte >= '0' && byte <= '9');
}

bool is_control(char byte) {
    const auto value = static_cast<unsigned char>(byte);
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    return value < first_printable || value == delete_character;
}

bool is_printable_utf8(const std::string& value) {
    return std::none_of(value.begin(), value.end(), is_control) && is_utf8(value);
}

codec<std::string> checked_text(const std::string& accepted, text_check check) {
    codec<std::string> made{"string", "", accepted, {}, {}, {}};
    made.read = [accepted, check = std::move(check)](const Json::Value& json, std::string& value,
                                                     const std::string& path, fault_list& faults) {
        if (!json.isString()) {
            faults.add(path, errc::wrong_type, "string, " + accepted);
            return;
        }
        value = json.asString();
        if (!check(value)) {
            faults.add(path, errc::out_of_range, accepted);
        }
    };
    made.write = [](const std::string& value) { return Json::Value{value}; };
    return made;
}

std::string shortest(double value) {
    std::array<char, 32> buffer{};
    const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), written.ptr};
}

} // namespace

codec<std::string> text(std::size_t least_bytes, std::size_t most_bytes) {
    const std::string accepted = std::to_string(least_bytes) + " to " + std::to_string(most_bytes) +
                                 " bytes without control characters";
    return checked_text(accepted, [least_bytes, most_bytes](const std::string& value) {
        return value.size() >= least_bytes && value.size() <= most_bytes &&
               is_printable_utf8(value);
    });
}

codec<std::string> word(std::string_view extra) {
    const std::string accepted = "1 to " + std::to_string(max_name_bytes) +
                                 " letters, digits or `" + std::string{extra} +
                                 "`, beginning with a letter or digit";
    return checked_text(accepted, [extra = std::string{extra}](const std::string& value) {
        const auto is_accepted = [&extra](char byte) {
            return is_letter_or_digit(byte) || extra.find(byte) != std::string::npos;
        };
        return !value.empty() && value.size() <= max_name_bytes &&
               is_letter_or_digit(value.front()) &&
               std::all_of(value.begin(), value.end(), is_accepted);
    });
}

codec<std::string> place(bool is_port_chosen) {
    const std::string accepted =
        std::string{"numeric address and port "} + (is_port_chosen ? "1" : "0") + " to 65535";
    return checked_text(accepted, [is_port_chosen](const std::string& value) {
        const auto parsed = http::parse_endpoint(value);
        return parsed.has_value() && (parsed->port != 0 || !is_port_chosen);
    });
}

codec<std::string> url_path() {
    constexpr std::size_t max_path_bytes = 1024;
    const std::string accepted = "a path that begins with `/`, at most " +
                                 std::to_string(max_path_bytes) +
                                 " bytes without spaces, `?`, `#` or control characters";
    return checked_text(accepted, [](const std::string& value) {
        return value.starts_with('/') && value.size() <= max_path_bytes &&
               value.find_first_of(" ?#") == std::string::npos && is_printable_utf8(value);
    });
}

codec<bool> boolean() {
    codec<bool> made{"boolean", "", "`true` or `false`", {}, {}, {}};
    made.read = [](const Json::Value& json, bool& value, const std::string& path,
                   fault_list& faults) {
        if (!json.isBool()) {
            faults.add(path, errc::wrong_type, "true or false");
            return;
        }
        value = json.asBool();
    };
    made.write = [](const bool& value) { return Json::Value{value}; };
    return made;
}

codec<double> number(double least, double most) {
    const std::string accepted = shortest(least) + " to " + shortest(most);
    codec<double> made{"number", "", accepted, {}, {}, {}};
    made.read = [least, most, accepted](const Json::Value& json, double& value,
                                        const std::string& path, fault_list& faults) {
        if (!json.isNumeric()) {
            faults.add(path, errc::wrong_type, "number, " + accepted);
            return;
        }
        value = json.asDouble();
        if (!(value >= least && value <= most)) {
            faults.add(path, errc::out_of_range, accepted);
        }
    };
    made.write = [](const double& value) { return Json::Value{value}; };
    return made;
}

codec<std::int64_t> whole_number(std::int64_t least, std::int64_t most) {
    const std::string accepted = std::to_string(least) + " to " + std::to_string(most);
    codec<std::int64_t> made{"integer", "", accepted, {}, {}, {}};
    made.read = [least, most, accepted](const Json::Value& json, std::int64_t& value,
                                        const std::string& path, fault_list& faults) {
        if (!json.isNumeric()) {
            faults.add(path, errc::wrong_type, "integer, " + accepted);
            return;
        }
        if (!json.isInt64()) {
            const double value_read = json.asDouble();
            const bool is_whole = std::trunc(value_read) == value_read;
            const errc code = is_whole ? errc::out_of_range : errc::wrong_type;
            faults.add(path, code, "integer, " + accepted);
            return;
        }
        value = json.asInt64();
        if (value < least || value > most) {
            faults.add(path, errc::out_of_range, accepted);
        }
    };
    made.write = [](const std::int64_t& value) { return Json::Value{Json::Int64{value}}; };
    return made;
}

codec<std::string> one_of(std::vector<std::string> names) {
    std::string accepted;
    for (const std::string& entry : names) {
        accepted += (accepted.empty() ? "`" : ", `") + entry + "`";
    }
    return checked_text(accepted, [names = std::move(names)](const std::string& value) {
        return std::find(names.begin(), names.end(), value) != names.end();
    });
}

codec<std::string> or_empty(const codec<std::string>& inner) {
    codec<std::string> outer = inner;
    outer.accepted += ", or empty";
    outer.read = [read = inner.read](const Json::Value& json, std::string& value,
                                     const std::string& path, fault_list& faults) {
        const bool is_empty = json.isString() && json.asString().empty();
        if (!is_empty) {
            read(json, value, path, faults);
        }
    };
    return outer;
}

bool check_list(const Json::Value& json, std::size_t least, std::size_t most,
                const std::string& path, fault_list& faults) {
    if (!json.isArray()) {
        faults.add(path, errc::wrong_type, "list, " + describe_list(least, most));
        return false;
    }
    if (json.size() < least || json.size() > most) {
        faults.add(path, errc::out_of_range, describe_list(least, most));
        return false;
    }
    return true;
}

std::string describe_list(std::size_t least, std::size_t most) {
    return std::to_string(least) + " to " + std::to_string(most) + " entries";
}

} // namespace cicadahatch::settings::internal
