#pragma once

#include <mutex>
#include <set>
#include <string>

namespace demo {

/// \brief What the demo's callers were told. Safe for use by threads.
class outcomes {
public:
    /// \brief Notes an answer that was right.
    void answered(const std::string& kind);
    /// \brief Notes a refusal or a failure that said so.
    /// \param why the problem's JSON; empty if the connection ended
    void refused(const std::string& kind, const std::string& why);
    /// \brief Notes something that must not happen.
    void wrong(const std::string& what);

    [[nodiscard]] int answers(const std::string& kind) const;
    [[nodiscard]] bool has_wrong() const;
    void print() const;

private:
    mutable std::mutex mutex_;
    std::multiset<std::string> answered_;
    std::multiset<std::string> refused_;
    std::multiset<std::string> wrong_;
};

} // namespace demo
