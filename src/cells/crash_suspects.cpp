#include "src/cells/crash_suspects.hpp"

#include <algorithm>
#include <iterator>

namespace cicadahatch::cells {

namespace {

using namespace std::chrono_literals;
using event_kind = suspect_event::event_kind;

/// Crashes after which a part is blocked. One alone may be a coincidence.
constexpr unsigned blocking_crashes = 2;

/// Time within which reports of one engine belong to one crash. An engine takes longer to start.
constexpr std::chrono::milliseconds crash_report_spread = 1s;

/// Time after its first event until a stream clears its parts. It covers a crash right after that
/// event and the way of its report.
constexpr std::chrono::milliseconds clearing_delay = 500ms;

/// Time until a part that has just been blocked is tried again, and the factor by which each
/// further crash extends it. At most a few trials of a part that crashes engines fall into an hour.
constexpr std::chrono::seconds first_trial_delay = 10s;
constexpr int trial_delay_factor = 4;
constexpr std::chrono::hours max_trial_delay = 1h;

/// Time without a crash or a request after which a part is forgotten.
constexpr std::chrono::minutes suspect_retention = 10min;
constexpr std::chrono::hours blocked_retention = 2h;

/// Bounds of the tables, as the parts come from callers.
constexpr std::size_t max_suspects = 256;
constexpr std::size_t max_beginnings = 4096;
constexpr std::size_t max_cleared = 8192;

bool is_cleared(const crash_suspects& suspects, std::uint64_t part) {
    return suspects.cleared.contains(part) || suspects.cleared_before.contains(part);
}

bool contains(const prompt_parts& parts, std::uint64_t part) {
    return std::binary_search(parts.begin(), parts.end(), part);
}

bool includes(const prompt_parts& parts, const prompt_parts& subset) {
    return std::includes(parts.begin(), parts.end(), subset.begin(), subset.end());
}

prompt_parts intersect(const prompt_parts& first, const prompt_parts& second) {
    prompt_parts common;
    std::set_intersection(first.begin(), first.end(), second.begin(), second.end(),
                          std::back_inserter(common));
    return common;
}

prompt_parts unite(const prompt_parts& first, const prompt_parts& second) {
    prompt_parts all;
    std::set_union(first.begin(), first.end(), second.begin(), second.end(),
                   std::back_inserter(all));
    return all;
}

prompt_parts without_cleared(const crash_suspects& suspects, prompt_parts parts) {
    std::erase_if(parts, [&](std::uint64_t part) { return is_cleared(suspects, part); });
    return parts;
}

duration trial_delay(unsigned crashes) {
    duration delay = first_trial_delay;
    for (unsigned crash = blocking_crashes; crash < crashes && delay < max_trial_delay; ++crash) {
        delay *= trial_delay_factor;
    }
    return std::min<duration>(delay, max_trial_delay);
}

void note(crash_suspects& suspects, event_kind kind, std::uint64_t part,
          const suspect_part& suspect, const backend_id& engine, const request_id& request) {
    suspects.events.push_back(
        {kind, part, suspect.crashes, suspect.common.size(), engine, request});
}

/// Makes room for another part: the one with the fewest crashes goes, and of these the oldest.
void evict_suspect(crash_suspects& suspects) {
    const auto weakest = std::min_element(
        suspects.parts.begin(), suspects.parts.end(), [](const auto& left, const auto& right) {
            return std::pair{left.second.crashes, left.second.last_seen_at} <
                   std::pair{right.second.crashes, right.second.last_seen_at};
        });
    suspects.parts.erase(weakest);
}

suspect_part& find_or_add(crash_suspects& suspects, std::uint64_t part) {
    const auto known = suspects.parts.find(part);
    if (known != suspects.parts.end()) {
        return known->second;
    }
    if (suspects.parts.size() >= max_suspects) {
        evict_suspect(suspects);
    }
    return suspects.parts[part];
}

/// Counts a stream of a crash against one of the suspect parts of its prompt.
void add_crash(suspect_part& suspect, const backend_id& engine, const prompt_parts& parts,
               time_point now) {
    const bool is_same_crash = suspect.crashes > 0 && suspect.last_engine == engine &&
                               now - suspect.last_crash_at < crash_report_spread;
    if (is_same_crash) {
        suspect.last_crash_parts = unite(suspect.last_crash_parts, parts);
    } else {
        suspect.common_before = suspect.crashes == 0 ? std::nullopt : std::optional{suspect.common};
        suspect.last_crash_parts = parts;
        suspect.last_engine = engine;
        suspect.last_crash_at = now;
        ++suspect.crashes;
        suspect.next_trial_at = now + trial_delay(suspect.crashes);
    }
    suspect.common = suspect.common_before
                         ? intersect(*suspect.common_before, suspect.last_crash_parts)
                         : suspect.last_crash_parts;
}

void remove_part(prompt_parts& parts, std::uint64_t removed) {
    std::erase(parts, removed);
}

void clear_part(crash_suspects& suspects, std::uint64_t part) {
    if (suspects.cleared.size() >= max_cleared) {
        suspects.cleared_before = std::move(suspects.cleared);
        suspects.cleared.clear();
    }
    suspects.cleared.insert(part);
    const auto known = suspects.parts.find(part);
    if (known == suspects.parts.end()) {
        return;
    }
    note(suspects, event_kind::cleared, part, known->second, {}, known->second.last_request);
    suspects.parts.erase(known);
    suspects.is_changed = true;
    for (auto& [other, suspect] : suspects.parts) {
        remove_part(suspect.common, part);
        remove_part(suspect.last_crash_parts, part);
        if (suspect.common_before) {
            remove_part(*suspect.common_before, part);
        }
    }
}

/// Whether the last crash was under this request.
bool has_crashed_engine(const suspect_part& suspect, const request_id& request) {
    return !request.empty() && suspect.last_request == request;
}

} // namespace

const char* to_string(suspect_event::event_kind kind) noexcept {
    switch (kind) {
    case event_kind::suspected:
        return "suspected";
    case event_kind::blocked:
        return "blocked";
    case event_kind::cleared:
        return "cleared";
    case event_kind::tried:
        return "tried";
    case event_kind::refused:
        return "refused";
    case event_kind::received:
        return "received";
    }
    return "unknown";
}

prompt_parts to_prompt_parts(const std::vector<std::uint64_t>& parts) {
    prompt_parts sorted = parts;
    std::sort(sorted.begin(), sorted.end());
    sorted.erase(std::unique(sorted.begin(), sorted.end()), sorted.end());
    return sorted;
}

bool is_blocked(const suspect_part& suspect) noexcept {
    return suspect.crashes >= blocking_crashes;
}

std::optional<blocked_prompt> check_prompt(crash_suspects& suspects, const request_id& request,
                                           const prompt_parts& parts, time_point now) {
    std::vector<std::uint64_t> trials;
    for (const std::uint64_t part : parts) {
        const auto known = suspects.parts.find(part);
        if (known == suspects.parts.end()) {
            continue;
        }
        suspect_part& suspect = known->second;
        const bool is_repeat = has_crashed_engine(suspect, request);
        if (!is_repeat && !(is_blocked(suspect) && includes(parts, suspect.common))) {
            continue;
        }
        suspect.last_seen_at = now;
        if (is_repeat || now < suspect.next_trial_at) {
            note(suspects, event_kind::refused, part, suspect, {}, request);
            const duration until_trial = std::max(duration{0}, suspect.next_trial_at - now);
            return blocked_prompt{part, std::chrono::ceil<std::chrono::milliseconds>(until_trial)};
        }
        trials.push_back(part);
    }
    for (const std::uint64_t part : trials) {
        suspect_part& suspect = suspects.parts.at(part);
        suspect.next_trial_at = now + trial_delay(suspect.crashes);
        note(suspects, event_kind::tried, part, suspect, {}, request);
        suspects.is_changed = true;
    }
    return std::nullopt;
}

void record_beginning(crash_suspects& suspects, const backend_id& engine, prompt_parts parts,
                      time_point now) {
    if (parts.empty()) {
        return;
    }
    if (suspects.beginnings.size() >= max_beginnings) {
        suspects.beginnings.pop_front();
    }
    suspects.beginnings.push_back({now, engine, std::move(parts)});
}

void record_crash(crash_suspects& suspects, const backend_id& engine, const request_id& request,
                  const prompt_parts& parts, time_point now) {
    std::erase_if(suspects.beginnings,
                  [&](const crash_suspects::beginning& row) { return row.engine == engine; });
    const prompt_parts suspected = without_cleared(suspects, parts);
    for (const std::uint64_t part : suspected) {
        suspect_part& suspect = find_or_add(suspects, part);
        const bool was_blocked = is_blocked(suspect);
        add_crash(suspect, engine, suspected, now);
        suspect.last_request = request;
        suspect.last_seen_at = now;
        suspects.is_changed = true;
        note(suspects,
             is_blocked(suspect) && !was_blocked ? event_kind::blocked : event_kind::suspected,
             part, suspect, engine, request);
    }
}

void merge_suspect(crash_suspects& suspects, std::uint64_t part, const suspect_part& known,
                   time_point now) {
    if (is_cleared(suspects, part) || !contains(known.common, part)) {
        return;
    }
    suspect_part& suspect = find_or_add(suspects, part);
    if (suspect.crashes >= known.crashes) {
        return;
    }
    suspect.crashes = known.crashes;
    suspect.common = without_cleared(suspects, known.common);
    suspect.next_trial_at = known.next_trial_at;
    suspect.last_seen_at = now;
    suspects.is_changed = true;
    note(suspects, event_kind::received, part, suspect, {}, {});
}

void update_suspects(crash_suspects& suspects, time_point now) {
    while (!suspects.beginnings.empty() && suspects.beginnings.front().at + clearing_delay <= now) {
        const crash_suspects::beginning begun = std::move(suspects.beginnings.front());
        suspects.beginnings.pop_front();
        for (const std::uint64_t part : begun.parts) {
            clear_part(suspects, part);
        }
    }
    std::erase_if(suspects.parts, [now](const auto& row) {
        const duration retention =
            is_blocked(row.second) ? duration{blocked_retention} : duration{suspect_retention};
        return now - row.second.last_seen_at > retention;
    });
}

} // namespace cicadahatch::cells
