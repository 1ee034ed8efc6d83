#include "src/store/internal/base64.hpp"

#include <openssl/evp.h>
#include <vector>

namespace cicadahatch::store::internal {

namespace {

constexpr std::size_t bytes_per_group = 3;
constexpr std::size_t digits_per_group = 4;

std::size_t padding_of(std::string_view text) {
    std::size_t count = 0;
    while (count < 2 && count < text.size() && text[text.size() - 1 - count] == '=') {
        ++count;
    }
    return count;
}

} // namespace

std::string encode_base64(std::string_view bytes) {
    const std::vector<unsigned char> plain{bytes.begin(), bytes.end()};
    const std::size_t groups = (bytes.size() + bytes_per_group - 1) / bytes_per_group;
    // OpenSSL ends its output with a zero byte.
    std::vector<unsigned char> digits(groups * digits_per_group + 1);
    const int written =
        EVP_EncodeBlock(digits.data(), plain.data(), static_cast<int>(plain.size()));
    return {digits.begin(), digits.begin() + written};
}

std::optional<std::string> decode_base64(std::string_view text) {
    if (text.empty()) {
        return std::string{};
    }
    if (text.size() % digits_per_group != 0) {
        return std::nullopt;
    }
    const std::vector<unsigned char> digits{text.begin(), text.end()};
    std::vector<unsigned char> plain(text.size() / digits_per_group * bytes_per_group);
    const int written =
        EVP_DecodeBlock(plain.data(), digits.data(), static_cast<int>(digits.size()));
    if (written < 0) {
        return std::nullopt;
    }
    const auto padding = static_cast<std::ptrdiff_t>(padding_of(text));
    return std::string{plain.begin(), plain.begin() + written - padding};
}

} // namespace cicadahatch::store::internal
