#pragma once

#include <string>
#include <system_error>
#include <vector>

namespace cicadahatch::settings {

/// \brief One fault of a settings or service file.
struct field_error {
    std::string source;   ///< file name
    int line = 0;         ///< from one; zero if the fault has no place
    std::string field;    ///< path such as "ranks.urgent.first_token_ms"
    std::error_code code; ///< of settings::errc
    std::string accepted; ///< accepted range or values, for people
};

/// \brief A parsed value and the faults found. The value is usable only without faults.
template <class T>
struct parsed {
    T value;
    std::vector<field_error> errors;

    [[nodiscard]] bool is_valid() const noexcept { return errors.empty(); }
};

/// \returns "file:line: field: what is wrong; accepted: ..."
[[nodiscard]] std::string to_string(const field_error& error);

} // namespace cicadahatch::settings
