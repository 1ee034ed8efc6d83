#include "src/claims/key_time.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdint>
#include <string>

namespace cicadahatch::claims {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;

bool is_hyphen_position(std::size_t position) {
    return position == 8 || position == 13 || position == 18 || position == 23;
}

bool is_uuid(const std::string& text) {
    if (text.size() != uuid_length) {
        return false;
    }
    for (std::size_t position = 0; position < uuid_length; ++position) {
        const auto letter = static_cast<unsigned char>(text[position]);
        const bool fits = is_hyphen_position(position) ? letter == '-' : std::isxdigit(letter) != 0;
        if (!fits) {
            return false;
        }
    }
    return true;
}

bool is_version_7(const std::string& text) {
    constexpr const char* variant_digits = "89abAB";
    return is_uuid(text) && text[version_position] == '7' &&
           std::string{variant_digits}.find(text[variant_position]) != std::string::npos;
}

} // namespace

std::optional<wall_time> key_time(const idempotency_key& key) {
    constexpr int hexadecimal = 16;
    const std::string& text = key.str();
    if (!is_version_7(text)) {
        return std::nullopt;
    }
    // The first 48 bits are milliseconds since 1970: eight digits, a hyphen, four digits.
    const std::string digits = text.substr(0, 8) + text.substr(9, 4);
    std::int64_t value = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), value, hexadecimal);
    return wall_time{std::chrono::milliseconds{value}};
}

} // namespace cicadahatch::claims
