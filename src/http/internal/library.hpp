#pragma once

namespace cicadahatch::http::internal {

/// Value of CivetWeb's option ssl_protocol_version.
inline constexpr const char* tls_1_2_or_later = "4";

/// Value of CivetWeb's option ssl_default_verify_paths: the authorities that the system trusts
/// admit nobody here.
inline constexpr const char* no_system_authorities = "no";

/// \brief Initialises CivetWeb, once per process.
void ensure_library();

} // namespace cicadahatch::http::internal
