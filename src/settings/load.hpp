#pragma once

#include "src/settings/daemon_settings.hpp"
#include "src/settings/field_error.hpp"
#include "src/settings/gateway_settings.hpp"
#include "src/settings/service.hpp"

#include <string>
#include <vector>

namespace cicadahatch::settings {

/// \brief Reads and checks a service file.
/// \returns errc::unreadable as the only fault if the file can't be read
[[nodiscard]] parsed<service> load_service(const std::string& file_name);

/// \brief Reads and checks a daemon settings file and the TLS files that it names.
/// \returns errc::unreadable for each file that can't be read
[[nodiscard]] parsed<daemon_settings> load_daemon_settings(const std::string& file_name);

/// \brief Reads and checks a gateway's settings file.
/// \returns errc::unreadable as the only fault if the file can't be read
[[nodiscard]] parsed<gateway_settings> load_gateway_settings(const std::string& file_name);

/// \returns the names of the service files in a directory and below, sorted; the name itself if
/// it is a file
[[nodiscard]] parsed<std::vector<std::string>> find_service_files(const std::string& place);

} // namespace cicadahatch::settings
