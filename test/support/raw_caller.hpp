#pragma once

#include "cicadahatch/core"
#include "cicadahatch/http"

#include <string>
#include <string_view>

namespace cicadahatch::test_support {

/// \brief A caller that sends any bytes over TCP, for requests that no HTTP client would send.
class raw_caller {
public:
    /// Connects, or stops the test.
    explicit raw_caller(const http::endpoint& place);
    raw_caller(const raw_caller&) = delete;
    raw_caller& operator=(const raw_caller&) = delete;
    raw_caller(raw_caller&&) = delete;
    raw_caller& operator=(raw_caller&&) = delete;
    ~raw_caller();

    /// \returns whether all bytes were accepted by the connection
    bool send(std::string_view bytes) const;
    /// \brief Closes the sending half; receiving goes on.
    void finish_sending() const;
    /// \brief Leaves: closes both halves at once.
    void leave();
    /// \returns what arrives until the server closes or nothing came for five seconds
    [[nodiscard]] std::string receive_all() const;
    /// \returns what has arrived, as soon as there is any; empty at the end of the connection or
    /// after five seconds
    [[nodiscard]] std::string receive_some() const;
    /// \returns what has arrived once it holds the text, or at the end of the connection
    [[nodiscard]] std::string receive_until(std::string_view text) const;

private:
    int descriptor_ = -1;
};

} // namespace cicadahatch::test_support
