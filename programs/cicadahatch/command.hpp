#pragma once

#include "programs/cicadahatch/options.hpp"

#include <string>

namespace cicadahatch::tool {

/// \brief Runs the tool.
/// \param arguments the command line without the program's name
/// \returns the exit status, an exit_code
[[nodiscard]] int run(const argument_list& arguments, std::ostream& out, std::ostream& err);

// One function a subcommand: it parses its own arguments and does the work.

exit_code run_check(const argument_list& arguments, const terminal& to);
exit_code run_publish(const argument_list& arguments, const terminal& to);
exit_code run_show(const argument_list& arguments, const terminal& to);
exit_code run_status(const argument_list& arguments, const terminal& to);
exit_code run_cells(const argument_list& arguments, const terminal& to);
exit_code run_engines(const argument_list& arguments, const terminal& to);
exit_code run_members(const argument_list& arguments, const terminal& to);
exit_code run_drain(const argument_list& arguments, const terminal& to);
exit_code run_log_level(const argument_list& arguments, const terminal& to);
exit_code run_report(const argument_list& arguments, const terminal& to);
exit_code run_explain(const argument_list& arguments, const terminal& to);
exit_code run_docs(const argument_list& arguments, const terminal& to);

} // namespace cicadahatch::tool
