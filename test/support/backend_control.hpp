#pragma once

#include "cicadahatch/core"
#include "cicadahatch/http"

#include <string>
#include <vector>

namespace cicadahatch::test_support {

/// \brief One thing that a backend stand-in did.
struct backend_run {
    std::string kind; ///< prefill, decode or plain
    std::string request;
    std::string key;
};

/// \brief Sends a JSON object to the stand-in's control.
void control_backend(const http::endpoint& backend, const std::string& body);
/// \brief Makes the stand-in do wrong as named, until told otherwise.
void set_fault(const http::endpoint& backend, const std::string& fault);
/// \returns all that the stand-in did since its start
[[nodiscard]] std::vector<backend_run> runs_at(const http::endpoint& backend);
/// \returns the number of memory holdings at the stand-in
[[nodiscard]] std::size_t held_at(const http::endpoint& backend);
/// \returns the number of KV transfers that are under way at the stand-in
[[nodiscard]] std::size_t transfers_at(const http::endpoint& backend);

/// \brief Tells the stand-in for the platform how to treat requests.
/// \param mode none, unavailable, slow, lose_reply, drop_request or hold_reply
/// \param count requests that meet the mode; negative: all
void set_platform_mode(const http::endpoint& platform, const std::string& mode, int count = -1,
                       std::chrono::milliseconds delay = {});

/// \returns the number of replies that the stand-in for the platform holds back
[[nodiscard]] std::size_t held_replies(const http::endpoint& platform);

/// \returns a field of a JSON object; empty if it is not there
[[nodiscard]] std::string text_field(const std::string& json_text, const std::string& name);

} // namespace cicadahatch::test_support
