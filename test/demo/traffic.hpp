#pragma once

#include "test/demo/deployment.hpp"
#include "test/demo/outcomes.hpp"

#include <functional>
#include <thread>
#include <vector>

namespace demo {

/// \brief Callers that run at the same time; the destructor waits for them.
class crowd {
public:
    crowd() = default;
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    crowd(crowd&&) = delete;
    crowd& operator=(crowd&&) = delete;
    ~crowd();

    void add(std::function<void()> caller);

private:
    std::vector<std::thread> callers_;
};

/// \brief One streamed prompt.
struct prompt {
    cicadahatch::http::endpoint daemon;
    const deployment* to = nullptr;
    std::string text;
    std::uint32_t tokens = 0;
    bool is_urgent = false;
    bool may_be_cut = false; ///< its daemon is killed
    std::function<void(std::size_t)> on_token;
};

/// \brief Sends a prompt and compares the answer with the one expected.
void send(const prompt& sent, outcomes& told);

/// \brief Sends one booking from several callers at once, each through another daemon.
/// Whoever gets an answer must get that of the same run.
void book_at_once(const std::vector<cicadahatch::http::endpoint>& daemons, const deployment& to,
                  const std::string& key, outcomes& told);

} // namespace demo
