#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/http/exchange.hpp"
#include "src/serving/problem.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace cicadahatch::serving {

/// \brief Writes one completion's answer to its caller, whole or as server-sent events.
///
/// Each function that returns bool returns false when the caller has gone.
class answer_writer {
public:
    /// \param sends_interim whether a waiting caller gets interim responses
    answer_writer(http::exchange& call, request_id request, service_id service, bool is_streamed,
                  bool sends_interim)
        : call_(call), request_(std::move(request)), service_(std::move(service)),
          is_streamed_(is_streamed), sends_interim_(sends_interim) {}

    /// \returns whether a byte of the answer has been sent
    [[nodiscard]] bool has_begun() const noexcept { return call_.has_begun(); }

    /// \brief Shows whether the caller is still there: an interim response, or a comment once the
    /// stream has begun.
    [[nodiscard]] bool check_caller();

    /// \brief Sends tokens of a streamed answer; a whole answer waits for finish().
    /// \param first position of the first of the tokens
    [[nodiscard]] bool deliver(std::uint64_t first, const std::vector<std::string>& tokens);

    /// \brief Ends the answer.
    /// \param text all of the answer, used if it is not streamed
    bool finish(const std::string& text, std::uint64_t tokens, std::uint32_t prompt_tokens);

    /// \brief Tells the caller that there is no answer, or that it ends here.
    void fail(const problem& failure);

    /// \brief The caller has gone; nothing more is sent.
    void abandon() { call_.abandon(); }

private:
    [[nodiscard]] bool begin_if_needed();

    http::exchange& call_;
    request_id request_;
    service_id service_;
    bool is_streamed_;
    bool sends_interim_;
};

} // namespace cicadahatch::serving
