#include "src/rpc/internal/link_proof.hpp"

#include "src/core/constants.hpp"
#include "src/rpc/internal/constants.hpp"

#include <array>
#include <charconv>
#include <civetweb.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace cicadahatch::rpc::internal {

namespace {

constexpr std::size_t encoded_bytes_per_byte = 3;
constexpr unsigned half_byte_bits = 4;
constexpr unsigned half_byte_mask = 15;
const std::string deflate_name = "deflate";
constexpr std::string_view hex_digits = "0123456789abcdef";

std::string hex(const unsigned char* bytes, std::size_t size) {
    std::string text;
    for (std::size_t index = 0; index < size; ++index) {
        text += hex_digits[bytes[index] >> half_byte_bits];
        text += hex_digits[bytes[index] & half_byte_mask];
    }
    return text;
}

/// Lengths before the names keep two different pairs of names apart.
std::string proof_of(const link_ends& ends, const std::string& secret) {
    const std::string& sender = ends.sender.str();
    const std::string& recipient = ends.recipient.str();
    const std::string text = std::to_string(sender.size()) + ":" + sender + ":" +
                             std::to_string(ends.sender_incarnation.value()) + ":" + recipient;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned digest_size = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), // NOLINT
         &digest_size);
    return hex(digest.data(), digest_size);
}

std::string url_encoded(const std::string& text) {
    std::string encoded(text.size() * encoded_bytes_per_byte + 1, '\0');
    const int length = mg_url_encode(text.c_str(), encoded.data(), encoded.size());
    encoded.resize(length < 0 ? 0 : static_cast<std::size_t>(length));
    return encoded;
}

std::optional<std::string> variable(std::string_view query, const char* name) {
    std::array<char, max_name_bytes + 1> value{};
    const int length = mg_get_var(query.data(), query.size(), name, value.data(), value.size());
    if (length < 0) {
        return std::nullopt;
    }
    return std::string{value.data(), static_cast<std::size_t>(length)};
}

} // namespace

std::string link_path(const link_ends& ends, const std::string& secret) {
    return std::string{link_uri} + "?from=" + url_encoded(ends.sender.str()) +
           "&start=" + std::to_string(ends.sender_incarnation.value()) +
           "&to=" + url_encoded(ends.recipient.str()) + "&proof=" + proof_of(ends, secret) +
           "&codec=" + deflate_name;
}

bool offers_deflate(std::string_view query) {
    return variable(query, "codec") == deflate_name;
}

std::optional<link_ends> check_link_query(std::string_view query, const std::string& secret) {
    const auto sender = variable(query, "from");
    const auto start = variable(query, "start");
    const auto recipient = variable(query, "to");
    const auto proof = variable(query, "proof");
    if (!sender || sender->empty() || !start || !recipient || !proof) {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(start->data(), start->data() + start->size(), number);
    if (parsed.ec != std::errc{} || parsed.ptr != start->data() + start->size()) {
        return std::nullopt;
    }
    link_ends ends{daemon_id{*sender}, incarnation{number}, daemon_id{*recipient}};
    const std::string expected = proof_of(ends, secret);
    const bool is_right = proof->size() == expected.size() &&
                          CRYPTO_memcmp(proof->data(), expected.data(), expected.size()) == 0;
    return is_right ? std::optional{std::move(ends)} : std::nullopt;
}

} // namespace cicadahatch::rpc::internal
