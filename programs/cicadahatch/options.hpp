#pragma once

#include "programs/cicadahatch/terminal.hpp"

#include <cxxopts.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cicadahatch::tool {

using argument_list = std::vector<std::string>;

/// \brief A command line that was understood.
struct parsed_line {
    cxxopts::ParseResult values;
    terminal to;
};

/// \brief Either the parsed line, or the exit code to stop with (after --help or a usage error).
struct parse_outcome {
    std::optional<parsed_line> line;
    exit_code stop = exit_code::ok;
};

/// \brief Options of one command, with those that all have: --output and --help.
/// \param usage what stands behind the options in the help, such as "DIR|FILE..."
[[nodiscard]] cxxopts::Options make_options(const std::string& command, const std::string& summary,
                                            const std::string& usage = {});

/// \brief Adds --admin, --token-file, --ca and --certificate.
void add_admin_options(cxxopts::Options& options);

/// \brief Adds --platform.
void add_platform_option(cxxopts::Options& options);

/// \brief Parses a command's arguments. Prints the help or the usage error.
[[nodiscard]] parse_outcome parse(cxxopts::Options& options, const argument_list& arguments,
                                  const terminal& to);

/// \brief Prints a usage error.
/// \returns exit_code::usage
exit_code fail_usage(const terminal& to, const std::string& text);

/// \returns the value of an option that may be absent, or of the environment variable, or empty
[[nodiscard]] argument_list list_value(const cxxopts::ParseResult& values, const std::string& name,
                                       const char* variable);

} // namespace cicadahatch::tool
