#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/core/strong_id.hpp"

#include <cstdint>
#include <deque>
#include <set>
#include <unordered_set>
#include <vector>

namespace cicadahatch::scheduling {

/// A network link that KV transfers share.
using link_id = name_id<struct link_tag>;

/// \brief Static description of an engine. Observations correct the speeds.
struct engine_spec {
    backend_id id;
    backend_role role = backend_role::decode;
    incarnation started;
    link_id link;                         ///< empty: transfers are free
    double prefill_tokens_per_second = 0; ///< zero: the engine can't prefill
    duration prefill_overhead{0};         ///< per prefill
    std::uint32_t slots = 0;              ///< concurrent streams or calls
    std::uint32_t pieces = 0;             ///< KV memory; zero: unlimited
    std::uint32_t piece_tokens = 16;      ///< tokens per piece
    duration step_base{0};                ///< fixed time of a decode step
    duration step_per_stream{0};          ///< added to a decode step for each stream
    std::uint32_t kv_bytes_per_token = 0; ///< transferred bytes for each prompt token
    /// Streams that may be starting at an engine that is new or has recovered; zero: any number.
    std::uint32_t initial_starts = 0;
};

/// \brief A link and its rate.
struct link_spec {
    link_id id;
    double bytes_per_second = 0;
};

/// \brief A link and the end of its last reservation.
struct link {
    link_id id;
    double bytes_per_second = 0;
    time_point free_at;
};

/// \brief Load that an engine reports.
struct load_report {
    backend_id backend;
    incarnation started;
    std::uint64_t sequence = 0;
    time_point taken_at; ///< on the receiver's clock: receive time minus the report's age
    std::uint32_t running = 0;
    std::uint32_t used_pieces = 0;
    duration prefill_backlog{0};
    bool is_leaving = false;
};

/// \brief Total usage of all streams of an engine, as the engine reports it.
struct engine_usage {
    backend_id backend;
    incarnation started;
    time_point taken_at; ///< on the receiver's clock
    std::uint32_t running = 0;
    std::uint32_t used_tokens = 0;
};

/// \brief A single change of an engine's prefix cache.
struct cache_event {
    std::uint64_t prefix_hash = 0;
    bool is_stored = true; ///< false: evicted
};

/// \brief Consecutive changes of an engine's prefix cache.
struct cache_event_batch {
    backend_id backend;
    incarnation started;
    std::uint64_t first_sequence = 0; ///< sequence number of the first event
    bool is_snapshot = false;         ///< the events list the full content
    std::vector<cache_event> events;
};

/// \brief Health of an engine, derived from request outcomes.
enum class health : std::uint8_t { healthy, ejected, probing };

/// \brief An engine with its reservations, reported load, corrections, health and cache view.
struct engine {
    backend_id id;
    engine_spec spec;
    bool is_leaving = false;  ///< gets no new work; permanent
    bool is_paused = false;   ///< gets no new work until resumed
    bool is_unlisted = false; ///< removed once its last grant has ended

    // Reservations of this cell's grants.
    std::uint32_t prefills = 0;
    double prefill_pending_seconds = 0;
    time_point prefill_free_at;
    std::uint32_t streams = 0;  ///< reserved slots
    std::uint32_t decoding = 0; ///< streams past their first token
    std::uint32_t reserved_pieces = 0;
    std::multiset<duration> between_token_targets;
    std::vector<request_id> slot_holders; ///< requests that hold the reserved slots

    // Load of other homes, from reports.
    std::uint32_t foreign_streams = 0;
    std::uint32_t foreign_pieces = 0;
    double foreign_tokens = 0; ///< used by the memory forecast
    time_point foreign_prefill_until;
    std::uint64_t report_sequence = 0;
    time_point reported_at;               ///< when the last report was taken
    std::deque<time_point> recent_begins; ///< times of own first tokens, oldest first
    std::deque<time_point> recent_ends;   ///< end times of own decoding streams, oldest first

    // Corrections: observed time over predicted time.
    double prefill_scale = 1;
    double step_scale = 1;

    // Health.
    scheduling::health health = scheduling::health::healthy;
    bool is_held_back = false; ///< an attempt failed; no new work until the next report
    time_point failed_at;      ///< time of the last such failure
    std::uint32_t failures_in_row = 0;
    std::uint32_t ejections_in_row = 0;
    time_point ejected_until;
    std::uint32_t max_starts = 0; ///< streams without a first token; zero: any number

    // Cache view.
    bool has_cache_view = true;
    std::uint64_t next_cache_sequence = 0;
    std::unordered_set<std::uint64_t> cached;
    std::vector<std::uint64_t> expected; ///< from grants since the last snapshot; bounded
};

} // namespace cicadahatch::scheduling
