#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_set>
#include <vector>

namespace cicadahatch::cells {

/// Hashes of the parts of a prompt that other requests may share; sorted, without duplicates.
using prompt_parts = std::vector<std::uint64_t>;

/// \returns the parts sorted and without duplicates
[[nodiscard]] prompt_parts to_prompt_parts(const std::vector<std::uint64_t>& parts);

/// \brief A part of prompts with which engines have crashed.
struct suspect_part {
    unsigned crashes = 0; ///< distinct crashes of engines under a prompt with this part
    /// Suspect parts that were in the prompts of all these crashes, this one included. A prompt
    /// without one of them may be sound.
    prompt_parts common;
    time_point next_trial_at; ///< while blocked: when one request may show whether it still crashes
    time_point last_seen_at;  ///< last crash or request with this part

    // Several daemons may report streams of one crash, which counts once.
    backend_id last_engine;
    time_point last_crash_at;
    request_id last_request;
    prompt_parts last_crash_parts;             ///< all suspect parts of prompts with this one
    std::optional<prompt_parts> common_before; ///< common without the last crash; empty: the first
};

/// \brief A change of what is believed about a part, or a refusal, for logging.
struct suspect_event {
    enum class event_kind : std::uint8_t { suspected, blocked, cleared, tried, refused, received };
    event_kind kind = event_kind::suspected;
    std::uint64_t part = 0;
    unsigned crashes = 0;
    std::size_t common_parts = 0;
    backend_id engine;  ///< that crashed; empty if not after a crash
    request_id request; ///< empty if received from another daemon
};

[[nodiscard]] const char* to_string(suspect_event::event_kind kind) noexcept;

/// \brief What the home of a pool knows about parts of prompts that crash engines.
///
/// Load: requests with a part that crashes each engine that begins to answer them, among sound
/// requests that share the prompt's other parts. A part is suspected after one crash under a stream
/// that was beginning, blocked after two, and cleared for good by a stream that has begun with it.
/// A wrong suspicion ends by itself: after a time that grows with the number of crashes, one
/// request is let through.
struct crash_suspects {
    /// Streams that have begun but may still crash their engine.
    struct beginning {
        time_point at;
        backend_id engine;
        prompt_parts parts;
    };

    std::map<std::uint64_t, suspect_part> parts;
    std::deque<beginning> beginnings;
    /// Two generations; the older one is dropped when the newer one is full.
    std::unordered_set<std::uint64_t> cleared;
    std::unordered_set<std::uint64_t> cleared_before;
    std::vector<suspect_event> events;
    bool is_changed = false; ///< the parts have changed since the flag was reset
};

/// \brief Why a prompt is refused.
struct blocked_prompt {
    std::uint64_t part = 0;
    std::chrono::milliseconds retry_after{0}; ///< until a request with the part may be tried
};

/// \returns whether requests with the part are refused
[[nodiscard]] bool is_blocked(const suspect_part& suspect) noexcept;

/// \brief Checks a request before it is placed.
/// \returns nothing if it may be placed
[[nodiscard]] std::optional<blocked_prompt> check_prompt(crash_suspects& suspects,
                                                         const request_id& request,
                                                         const prompt_parts& parts, time_point now);

/// \brief Records that an engine has sent the first event of a stream.
void record_beginning(crash_suspects& suspects, const backend_id& engine, prompt_parts parts,
                      time_point now);

/// \brief Records that the process of an engine ended while a stream was beginning there.
void record_crash(crash_suspects& suspects, const backend_id& engine, const request_id& request,
                  const prompt_parts& parts, time_point now);

/// \brief Adopts what another daemon knows of a part, unless the part is cleared here.
/// \param known crashes, common parts and times are used
void merge_suspect(crash_suspects& suspects, std::uint64_t part, const suspect_part& known,
                   time_point now);

/// \brief Clears the parts of streams that have gone on, and forgets parts without requests.
void update_suspects(crash_suspects& suspects, time_point now);

} // namespace cicadahatch::cells
