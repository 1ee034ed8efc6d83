#pragma once

#include "src/core/clock.hpp"
#include "src/rpc/messages.hpp"

namespace cicadahatch::membership {

using rpc::member_record;
using rpc::member_status;

/// \brief One other member as this process knows it.
struct member {
    daemon_id id;
    member_record record;
    member_status own_status = member_status::alive; ///< what it last said of itself
    time_point heard_at;                             ///< when its heartbeat was last seen to grow
    std::uint64_t direct_heartbeat = 0;              ///< newest heartbeat that came from itself
    time_point watched_since;                        ///< meaningful while is_watched
    time_point status_since;
    bool is_watched = false;
    bool differs = false; ///< its tables say something else than the own ones
    time_point differs_since;
};

/// \brief Orders statements on one member: by incarnation, then heartbeat, then how final they
/// are. A suspicion or death therefore yields to any later heartbeat.
/// \returns whether the first replaces the second
[[nodiscard]] bool is_newer(const member_record& left, const member_record& right) noexcept;

/// \returns whether a member with that status is part of the ring: alive, leaving or suspect
[[nodiscard]] constexpr bool is_present(member_status status) noexcept {
    return status != member_status::dead && status != member_status::left;
}

/// \returns whether it said so of itself and nobody doubts it
[[nodiscard]] constexpr bool is_trusted(member_status status) noexcept {
    return status == member_status::alive || status == member_status::leaving;
}

} // namespace cicadahatch::membership
