#pragma once

#include "programs/cicadahatch/admin_client.hpp"

namespace cicadahatch::tool {

/// \brief Sends an order to every daemon named on the command line and prints who took it.
exit_code send_order(const parsed_line& line, const std::string& resource, const json& body);

} // namespace cicadahatch::tool
