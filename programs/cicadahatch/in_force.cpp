#include "programs/cicadahatch/in_force.hpp"

#include "programs/cicadahatch/error.hpp"

#include <algorithm>
#include <thread>

namespace cicadahatch::tool {

namespace {

constexpr std::chrono::milliseconds ask_interval{200};

/// A daemon that was not reached this many times in a row is not waited for.
constexpr int max_failed_asks = 5;

/// \brief Asks each daemon once.
/// \returns the answers, with errc::not_in_force for daemons that lag
std::vector<daemon_reply> ask_for(const admin_target& target, revision wanted) {
    auto replies = ask_all(target, read_request("configuration"));
    for (daemon_reply& reply : replies) {
        const auto at = revision_of(reply);
        if (!at) {
            reply.body = tl::unexpected(at.error());
        } else if (*at < wanted) {
            reply.body = failure(errc::not_in_force);
        }
    }
    return replies;
}

/// \param failed_asks for each daemon, how often in a row it was not reached; updated
bool is_awaited(const daemon_reply& reply, int& failed_asks) {
    if (reply.body || reply.body.error() == errc::not_in_force) {
        failed_asks = 0;
        return !reply.body;
    }
    ++failed_asks;
    return failed_asks < max_failed_asks;
}

} // namespace

result<revision> revision_of(const daemon_reply& reply) {
    if (!reply.body) {
        return tl::unexpected(reply.body.error());
    }
    const json answer = json::parse(*reply.body, nullptr, false);
    const bool is_sound = answer.is_object() && answer.contains("revision") &&
                          answer["revision"].is_number_unsigned();
    if (!is_sound) {
        return failure(errc::malformed_answer);
    }
    return revision{answer["revision"].get<std::uint64_t>()};
}

std::vector<daemon_reply> wait_in_force(const admin_target& target, revision wanted,
                                        std::chrono::milliseconds longest) {
    const auto end = std::chrono::steady_clock::now() + longest;
    std::vector<int> failed_asks(target.daemons.size(), 0);
    while (true) {
        auto replies = ask_for(target, wanted);
        bool is_any_awaited = false;
        for (std::size_t index = 0; index < replies.size(); ++index) {
            is_any_awaited |= is_awaited(replies[index], failed_asks[index]);
        }
        if (!is_any_awaited || std::chrono::steady_clock::now() >= end) {
            return replies;
        }
        std::this_thread::sleep_for(ask_interval);
    }
}

} // namespace cicadahatch::tool
