#include "src/core/random.hpp"

#include "src/core/macros.hpp"

#include <array>
#include <cmath>
#include <random>

namespace cicadahatch {

namespace {

constexpr std::string_view hex_digits = "0123456789abcdef";
constexpr double unit_scale = 0x1.0p-53;
constexpr int unit_shift = 11;

} // namespace

std::uint64_t random_source::below(std::uint64_t limit) {
    CICADAHATCH_ASSERT(limit > 0, random_limit_is_positive);
    // Rejection keeps the result uniform for limits that do not divide the generator's range.
    const std::uint64_t threshold = (0 - limit) % limit;
    std::uint64_t drawn = engine_();
    while (drawn < threshold) {
        drawn = engine_();
    }
    return drawn % limit;
}

double random_source::unit() {
    const std::uint64_t drawn = engine_();
    return static_cast<double>(drawn >> unit_shift) * unit_scale;
}

duration random_source::exponential(duration mean) {
    const double factor = -std::log1p(-unit());
    return duration{static_cast<duration::rep>(static_cast<double>(mean.count()) * factor)};
}

duration random_source::jittered(duration base) {
    const duration half = base / 2;
    const auto spread = static_cast<double>(half.count()) * unit();
    return half + duration{static_cast<duration::rep>(spread)};
}

std::string unique_token() {
    constexpr int words = 4;
    constexpr int digits_per_word = 8;
    constexpr std::uint32_t digit_mask = 0xF;
    constexpr int bits_per_digit = 4;
    std::random_device device;
    std::string token;
    for (int word = 0; word < words; ++word) {
        std::uint32_t bits = device();
        for (int digit = 0; digit < digits_per_word; ++digit) {
            token.push_back(hex_digits[bits & digit_mask]);
            bits >>= bits_per_digit;
        }
    }
    return token;
}

} // namespace cicadahatch
