#pragma once

#include <system_error>

namespace cicadahatch::rpc {

/// \brief Why an operation between daemons failed.
enum class errc {
    malformed = 1,    ///< the bytes are no batch
    too_large,        ///< over a bound on bytes, messages or entries
    outbox_full,      ///< too many messages wait for this peer; nothing was queued
    not_connected,    ///< no connection to the peer; the messages were not sent
    not_acknowledged, ///< sent, but the peer did not say that it took them
    refused,          ///< the peer refused the secret, the recipient or the incarnation
    listener_failed,  ///< the listener could not be opened
    link_closed,      ///< the link ended before the messages were taken
    call_failed       ///< a JSON-RPC call was answered with an error
};

[[nodiscard]] const std::error_category& rpc_category() noexcept;
[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// \returns true if the failure proves that the peer took none of the messages
[[nodiscard]] bool is_surely_not_taken(const std::error_code& error) noexcept;

} // namespace cicadahatch::rpc

template <>
struct std::is_error_code_enum<cicadahatch::rpc::errc> : std::true_type {};
