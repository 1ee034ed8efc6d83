#pragma once

#include <string>
#include <vector>

namespace cicadahatch::settings {

/// \brief What a settings or service file may say in one field.
struct field_description {
    std::string path;     ///< such as "urgent.first_token_ms"; "[]" stands for any list element
    std::string type;     ///< JSON type
    std::string unit;     ///< empty if the value has none
    std::string fallback; ///< JSON text of the default, or "required"
    std::string accepted; ///< accepted range or values
    std::string meaning;
};

/// \returns every field of a service file, in the order of the canonical form
[[nodiscard]] std::vector<field_description> describe_service();

/// \returns every field of a daemon settings file
[[nodiscard]] std::vector<field_description> describe_daemon_settings();

/// \returns every field of a gateway's settings file
[[nodiscard]] std::vector<field_description> describe_gateway_settings();

/// \returns the descriptions as a Markdown table
[[nodiscard]] std::string render_table(const std::vector<field_description>& fields);

} // namespace cicadahatch::settings
