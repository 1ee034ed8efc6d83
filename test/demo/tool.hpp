#pragma once

#include <string>
#include <vector>

namespace demo {

/// \brief Runs the command-line tool and waits for its end.
/// \returns whether its exit status was zero
[[nodiscard]] bool run_tool(const std::vector<std::string>& arguments);

} // namespace demo
