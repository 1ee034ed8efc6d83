#pragma once

#include "programs/cicadahatch/exit_code.hpp"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <system_error>

namespace cicadahatch::tool {

using json = nlohmann::ordered_json;

enum class output_format : std::uint8_t { table, json };

/// \brief Where a command writes its output, and how.
struct terminal {
    std::ostream& out;
    std::ostream& err;
    output_format format = output_format::table;
};

/// \brief Writes objects as a table with a column for each name, or as JSON.
/// \param records an array of flat objects
void print_records(const terminal& to, const json& records);

/// \brief Writes text in table format, or the JSON value in JSON format.
void print(const terminal& to, const std::string& text, const json& value);

/// \brief Writes an error with what it is about.
/// \param code what the command then exits with
/// \returns code
exit_code fail(const terminal& to, const std::string& about, const std::error_code& error,
               exit_code code = exit_code::failed);

} // namespace cicadahatch::tool
