#pragma once

#include <system_error>
#include <tl/expected.hpp>

namespace cicadahatch {

/// \brief A value, or the typed reason why there is none.
/// \sa failure
template <class T>
using result = tl::expected<T, std::error_code>;

/// \param code an enumerator of an error enumeration registered with std::is_error_code_enum
/// \returns the failed state of any result
template <class ErrorEnum>
[[nodiscard]] tl::unexpected<std::error_code> failure(ErrorEnum code) {
    return tl::unexpected<std::error_code>(std::error_code(code));
}

} // namespace cicadahatch
