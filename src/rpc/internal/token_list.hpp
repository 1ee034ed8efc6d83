#pragma once

#include "src/core/result.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cicadahatch::rpc::internal {

/// \brief Beginning of an array; its elements follow.
struct array_start {
    std::size_t size = 0;
};

/// \brief One value of an encoded batch. A null stands for anything a batch never holds.
using token =
    std::variant<std::monostate, bool, std::uint64_t, std::int64_t, std::string, array_start>;

using token_list = std::vector<token>;

/// \brief Reads MessagePack that anyone may have written, with bounds on depth and count.
/// \returns the values in their order, errc::malformed or errc::too_large
[[nodiscard]] result<token_list> read_tokens(std::string_view bytes);

} // namespace cicadahatch::rpc::internal
