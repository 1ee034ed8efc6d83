#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \brief Gives one input to the parser under test. Stops the process if a property is broken.
/// The name and signature are libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

namespace cicadahatch::fuzz {

/// \returns sound inputs from which the driver makes others
[[nodiscard]] std::vector<std::string> seed_inputs();

/// \returns the input as text
[[nodiscard]] inline std::string_view as_text(const std::uint8_t* data, std::size_t size) {
    // Bytes and characters may alias.
    return {reinterpret_cast<const char*>(data), size}; // NOLINT(*-reinterpret-cast)
}

} // namespace cicadahatch::fuzz
