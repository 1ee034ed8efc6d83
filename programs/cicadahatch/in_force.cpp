#include "programs/cicadahatch/in_force.hpp"

#include "programs/cicadahatch/error.hpp"

#include <algorithm>
#include <thread>

namespace cicadahatch::tool {

namespace {

constexpr std::chrono::milliseconds ask_interval{200};

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
    while (true) {
        auto replies = ask_all(target, read_request("configuration"));
        for (daemon_reply& reply : replies) {
            const auto at = revision_of(reply);
            if (!at) {
                reply.body = tl::unexpected(at.error());
            } else if (*at < wanted) {
                reply.body = failure(errc::not_in_force);
            }
        }
        const bool is_everywhere =
            std::all_of(replies.begin(), replies.end(),
                        [](const daemon_reply& reply) { return reply.body.has_value(); });
        if (is_everywhere || std::chrono::steady_clock::now() >= end) {
            return replies;
        }
        std::this_thread::sleep_for(ask_interval);
    }
}

} // namespace cicadahatch::tool
