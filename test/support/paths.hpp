#pragma once

#include <string>

namespace cicadahatch::test_support {

/// \returns the build's directory, in which the programs are
[[nodiscard]] std::string binary_dir();

/// \returns the checkout's directory
[[nodiscard]] std::string source_dir();

} // namespace cicadahatch::test_support
