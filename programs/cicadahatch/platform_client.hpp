#pragma once

#include "programs/cicadahatch/options.hpp"
#include "src/core/result.hpp"
#include "src/store/key_value_store.hpp"

#include <memory>

namespace cicadahatch::tool {

/// \returns a client of the key-value service named on the command line or in the environment, or
/// errc::no_platform or errc::bad_endpoint
[[nodiscard]] result<std::unique_ptr<store::key_value_store>>
open_platform(const cxxopts::ParseResult& values);

/// \returns whether the error says that the key-value service was not reached
[[nodiscard]] bool is_platform_unreached(const std::error_code& error);

} // namespace cicadahatch::tool
