#pragma once

#include "src/core/random.hpp"
#include "src/core/table.hpp"
#include "src/http/endpoint.hpp"
#include "src/membership/member.hpp"
#include "src/membership/member_event.hpp"
#include "src/membership/payload_table.hpp"

#include <optional>
#include <variant>
#include <vector>

namespace cicadahatch::membership {

/// \brief A message that the caller of a system is to send.
struct outgoing {
    daemon_id peer; ///< empty: whoever listens there
    http::endpoint place;
    rpc::message content;
};

/// \brief News that are still being pushed.
struct rumor {
    std::variant<daemon_id, payload_id> about;
    int rounds_left = 0;
    bool is_urgent = false; ///< a death or departure: goes before all else and over the bound
};

/// \brief A member that gets heartbeats though it is none of the successors.
struct demand {
    daemon_id by;
    time_point until;
};

/// \brief When a foreign failure domain was last known to be reached by a member of this one.
struct contact {
    domain_id domain;
    time_point at;
};

/// \brief Positions on the ring, rebuilt when a member comes, goes or is doubted.
struct neighbourhood {
    std::vector<daemon_id> successors;   ///< they watch this process
    std::vector<daemon_id> predecessors; ///< this process watches them
    std::vector<daemon_id> relays;       ///< further members that news are pushed to
    std::vector<daemon_id> bridges;      ///< foreign members that this process talks to
    bool is_stale = true;
};

/// \brief When the periodic systems run next.
struct schedule {
    time_point last_step;
    time_point heartbeat;
    time_point bridge;
    time_point sync;
    time_point sync_reply; ///< earliest next answer with whole tables
    time_point repair;     ///< earliest next request to repair a difference
    time_point suspicion;
    time_point seed;
    time_point dead_contact;
};

/// \brief Counts for reports and tests.
struct gossip_counts {
    std::uint64_t suspicions = 0; ///< own ones, by silence
    std::uint64_t recoveries = 0;
    std::uint64_t deaths = 0; ///< declared by this process
    std::uint64_t own_freezes = 0;
    std::uint64_t syncs = 0;
    std::uint64_t pushes_held_back = 0; ///< by the bound on bytes
};

/// \brief Everything one process knows of membership. Changed by the systems only.
/// \sa make_gossip_state, receive, step
struct gossip_state {
    explicit gossip_state(std::uint64_t seed) : random(seed) {}

    member_record self;
    std::vector<http::endpoint> seeds;
    table<daemon_id, member> members; ///< the others, dead ones included for a while
    table<payload_id, payload_row> payloads;
    std::vector<rumor> rumors;
    std::vector<contact> contacts;
    std::vector<demand> demands;
    std::vector<member_record> verdicts; ///< deaths to tell those who turned out to be alive
    std::uint64_t own_death = 0; ///< newest heartbeat at which others declared this process dead
    neighbourhood near;
    schedule due;
    double push_allowance = 0;        ///< bytes
    std::vector<member_event> events; ///< to be taken by the caller
    gossip_counts counts;
    std::optional<std::uint32_t> hash; ///< of the tables; none after a change
    random_source random;
};

/// \param self this process: name, domain, listener and incarnation
/// \param seeds listeners that may be members; not trusted to be
/// \param random_seed of the choices of peers; different in each process
[[nodiscard]] gossip_state make_gossip_state(member_record self, std::vector<http::endpoint> seeds,
                                             std::uint64_t random_seed, time_point now);

} // namespace cicadahatch::membership
