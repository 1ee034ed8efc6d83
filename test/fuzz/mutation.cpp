#include "test/fuzz/mutation.hpp"

#include <array>
#include <string_view>

namespace cicadahatch::fuzz {

namespace {

constexpr std::uint64_t max_edits = 6;
constexpr std::uint64_t max_range_bytes = 64;
constexpr std::uint64_t byte_values = 256;
constexpr std::uint64_t bits_of_byte = 8;

/// Bytes that parsers of JSON, CBOR, MessagePack and HTTP treat apart.
constexpr std::array<std::string_view, 24> fragments{
    "{",
    "}",
    "[",
    "]",
    "\"",
    ":",
    ",",
    "\\u0000",
    "null",
    "true",
    "-1",
    "1e999",
    "0.1",
    "18446744073709551616",
    "//",
    "/*",
    "\n",
    "\r\n",
    "\xff",
    "\xed\xa0\x80",
    "\x9f",
    "\xdf\xff\xff\xff\xff",
    "\xc6\xff\xff\xff\xff",
    "\x1b",
};

std::size_t position(const std::string& text, random_source& random) {
    return static_cast<std::size_t>(random.below(text.size() + 1));
}

std::size_t length(random_source& random) {
    return static_cast<std::size_t>(1 + random.below(max_range_bytes));
}

void flip_bit(std::string& text, random_source& random) {
    if (!text.empty()) {
        char& byte = text[static_cast<std::size_t>(random.below(text.size()))];
        byte = static_cast<char>(byte ^ (1 << random.below(bits_of_byte)));
    }
}

void replace_byte(std::string& text, random_source& random) {
    if (!text.empty()) {
        text[static_cast<std::size_t>(random.below(text.size()))] =
            static_cast<char>(random.below(byte_values));
    }
}

void insert_fragment(std::string& text, random_source& random) {
    const auto chosen = fragments.at(static_cast<std::size_t>(random.below(fragments.size())));
    text.insert(position(text, random), chosen);
}

void erase_range(std::string& text, random_source& random) {
    text.erase(position(text, random), length(random));
}

void repeat_range(std::string& text, random_source& random) {
    const std::string range = text.substr(position(text, random), length(random));
    text.insert(position(text, random), range);
}

void truncate(std::string& text, random_source& random) {
    text.resize(position(text, random));
}

using edit = void (*)(std::string&, random_source&);
constexpr std::array<edit, 6> edits{flip_bit,    replace_byte, insert_fragment,
                                    erase_range, repeat_range, truncate};

const std::string& pick(const std::vector<std::string>& seeds, random_source& random) {
    return seeds[static_cast<std::size_t>(random.below(seeds.size()))];
}

} // namespace

std::string mutate(const std::vector<std::string>& seeds, random_source& random) {
    std::string text = pick(seeds, random);
    constexpr double splice_share = 0.1;
    if (random.chance(splice_share)) {
        const std::string& other = pick(seeds, random);
        text = text.substr(0, position(text, random)) + other.substr(position(other, random));
    }
    for (std::uint64_t left = 1 + random.below(max_edits); left > 0; --left) {
        edits.at(static_cast<std::size_t>(random.below(edits.size())))(text, random);
    }
    return text;
}

} // namespace cicadahatch::fuzz
