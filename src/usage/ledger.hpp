#pragma once

#include "src/core/clock.hpp"
#include "src/core/table.hpp"
#include "src/routing/route.hpp"

#include <map>
#include <set>
#include <vector>

namespace cicadahatch::usage {

/// \brief A team's token bucket.
struct account {
    team_id id;
    routing::usage_cap cap;
    double balance = 0; ///< units; negative after a request larger than the capacity
    time_point refilled_at;
    time_point promised_until; ///< until when room has been promised to refused callers
};

/// \brief The accounts of all teams, as far as one home or daemon may grant them.
///
/// Load answered: teams whose callers are spread unevenly over many daemons, so that equal shares
/// of a cap would be smaller than one request.
struct ledger {
    table<team_id, account> accounts;
    double slack = 0;      ///< units by which all ledgers together may exceed a cap
    double share = 0;      ///< part of each cap that this ledger grants
    bool may_lend = false; ///< grants a request larger than the capacity from a full bucket
};

/// \brief Whether a request is within its team's cap.
struct decision {
    enum class outcome : std::uint8_t {
        granted,
        refused, ///< room after retry_after
        never    ///< larger than the cap permits at any time
    };
    outcome result = outcome::granted;
    duration retry_after{0};
};

/// \brief Replaces the caps. Accounts of teams that stay keep their balance, up to the new
/// capacity.
void set_caps(ledger& book, const std::vector<routing::team>& teams, time_point now);

/// \brief Changes the part of the caps that this ledger grants. Another ledger may have granted an
/// added part until now, so little of the added capacity is available at once.
void set_share(ledger& book, double share, time_point now);

/// \brief Takes units for a request. Teams without a cap are always granted.
[[nodiscard]] decision take(ledger& book, const team_id& team, double units, time_point now);

/// \returns whether the team's account has enough room to grant units before they are needed
[[nodiscard]] bool has_room_in_advance(const ledger& book, const team_id& team);

/// \brief Returns units that were taken for a request that has not run.
void give_back(ledger& book, const team_id& team, double units, time_point now);

/// \returns the part of the caps that a home may grant. A failure domain counts whole if any of its
/// daemons is heard: domains are partitioned as a whole, and daemons that have ended don't use
/// their part.
/// \param registered daemons of all homes, by domain
/// \param heard domains of the daemons that rely on the home
[[nodiscard]] double share_of(const std::map<domain_id, std::size_t>& registered,
                              const std::set<domain_id>& heard);

} // namespace cicadahatch::usage
