#pragma once

#include <chrono>
#include <cstddef>

namespace cicadahatch::membership {

/// Period of the systems.
inline constexpr std::chrono::milliseconds step_period{50};

/// Time between two heartbeats to the same watcher.
inline constexpr std::chrono::milliseconds heartbeat_period{250};

/// Live successors on the ring that watch a member.
inline constexpr std::size_t watcher_count = 4;

/// Silence after which a watcher suspects a member.
inline constexpr std::chrono::milliseconds silence_limit{1'250};

/// Time that a suspect has to show a later heartbeat before it is declared dead.
inline constexpr std::chrono::milliseconds suspicion_time{800};

/// Longest time from a member's death until every live member of its domain knows, with up to
/// 30% of the messages lost: one heartbeat relayed late, silence, suspicion and the spreading.
inline constexpr std::chrono::milliseconds detection_bound{3'000};

/// A pause between two steps longer than this means that this process itself was stopped.
inline constexpr std::chrono::milliseconds own_freeze_limit{500};

/// Members beside the successors that news are pushed to.
inline constexpr std::size_t relay_count = 4;

/// Peers that each round of news goes to.
inline constexpr std::size_t push_fanout = 3;

/// Rounds for which a member pushes news that must reach all, and news soon replaced.
inline constexpr int lasting_push_rounds = 5;
inline constexpr int volatile_push_rounds = 1;

/// Sustained and burst bounds on the bytes of news that a member sends.
inline constexpr double push_bytes_per_second = 6'000;
inline constexpr double push_burst_bytes = 24'000;

/// Largest estimated size of the news in one message.
inline constexpr std::size_t max_push_bytes = 4'000;

/// Time between two comparisons of tables with another member.
inline constexpr std::chrono::milliseconds sync_period{5'000};

/// Shortest time between two answers with whole tables.
inline constexpr std::chrono::milliseconds sync_reply_pause{1'000};

/// Time for which two members' tables must differ before one asks for the other's, and the
/// shortest time between two such requests.
inline constexpr std::chrono::milliseconds difference_limit{400};
inline constexpr std::chrono::milliseconds repair_pause{1'000};

/// Records in one message of a table.
inline constexpr std::size_t sync_records_per_message = 200;

/// Time between two tries at a seed, while alone and else.
inline constexpr std::chrono::milliseconds lonely_seed_period{500};
inline constexpr std::chrono::milliseconds seed_period{15'000};

/// Time between two tries to reach some member that was declared dead.
inline constexpr std::chrono::milliseconds dead_contact_period{2'000};

/// Time for which a dead member is remembered.
inline constexpr std::chrono::minutes dead_kept{10};

/// Chance that a member tries a domain that is cut off, in each dead_contact_period.
inline constexpr double cut_retry_chance = 0.2;

/// Time for which a spread value is kept without a newer version.
inline constexpr std::chrono::seconds volatile_payload_kept{30};
inline constexpr std::chrono::hours lasting_payload_kept{24};

/// Live members of each of two domains that talk to each other.
inline constexpr std::size_t bridge_count = 2;

/// Time between two messages over a bridge, and of contacts within the domain.
inline constexpr std::chrono::milliseconds bridge_period{1'000};

/// Time without contact after which a domain counts as cut off.
inline constexpr std::chrono::seconds domain_cut_limit{10};

/// Time for which a member that asked for heartbeats gets them though it is no watcher.
inline constexpr std::chrono::seconds demand_time{5};

/// Bounds on what is remembered.
inline constexpr std::size_t max_members = 4'096;
inline constexpr std::size_t max_payloads = 8'192;

/// Largest spread value, in bytes.
inline constexpr std::size_t max_payload_bytes = 512;

} // namespace cicadahatch::membership
