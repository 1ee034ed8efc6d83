#pragma once

#include "cicadahatch/core"
#include "cicadahatch/http"

#include <functional>
#include <string>
#include <vector>

namespace cicadahatch::test_support {

/// \brief A streamed answer as a caller saw it.
struct streamed_answer {
    int status = 0;
    std::vector<std::uint64_t> positions;
    std::string text;
    bool is_whole = false; ///< the end mark came
    std::string problem;   ///< JSON of a refusal or of an error event
    duration first_token{0};
    duration longest_gap{0};
};

/// \brief Sends a completion and reads its stream to the end.
/// \param on_token called after each token with the number received
[[nodiscard]] streamed_answer
stream_completion(const http::endpoint& daemon, const std::string& service,
                  const std::string& prompt, std::uint32_t max_tokens,
                  const http::header_list& headers = {},
                  const std::function<void(std::size_t)>& on_token = {});

/// \brief Sends a completion that is answered in one piece.
[[nodiscard]] result<http::response> complete(const http::endpoint& daemon,
                                              const std::string& service, const std::string& prompt,
                                              std::uint32_t max_tokens);

/// \returns the answer that the stand-in engines give to a prompt
[[nodiscard]] std::string expected_text(const std::string& prompt, std::uint32_t tokens);

/// \brief Sends a POST with an Idempotency-Key.
[[nodiscard]] result<http::response> book(const http::endpoint& daemon, const std::string& path,
                                          const std::string& key, const std::string& body);

/// \brief GET of a JSON document; an empty body if it failed.
[[nodiscard]] std::string fetch(const http::endpoint& place, const std::string& path);

/// \brief POST of a JSON document; an empty body if it failed.
std::string post(const http::endpoint& place, const std::string& path, const std::string& body);

/// \brief Waits until a condition holds, looking every few milliseconds.
/// \returns false if it does not hold within the bound
[[nodiscard]] bool eventually(const std::function<bool()>& holds,
                              std::chrono::milliseconds bound = std::chrono::seconds{20});

} // namespace cicadahatch::test_support
