#pragma once

#include "src/membership/member.hpp"

namespace cicadahatch::membership {

/// \brief What has changed.
enum class event_kind : std::uint8_t {
    joined,             ///< new, or back under a new incarnation
    suspected,          ///< silent; not yet to be acted on
    died,               ///< declared dead: nothing it holds is renewed any more
    left,               ///< ended by its own decision
    leaving,            ///< takes no new work
    recovered,          ///< showed a later heartbeat after a suspicion or death
    self_declared_dead, ///< others took this process for dead: what it held may be given away
    self_replaced       ///< a later start of the same name exists: this process must end
};

/// \brief A change of membership, in the order in which this process learnt of them.
struct member_event {
    event_kind kind = event_kind::joined;
    member_record record;
};

} // namespace cicadahatch::membership
