#pragma once

#include "src/claims/segment.hpp"
#include "src/claims/shard_view.hpp"
#include "src/core/clock.hpp"
#include "src/store/key_value_store.hpp"

#include <cstdint>
#include <optional>
#include <system_error>
#include <vector>

namespace cicadahatch::claims {

/// \brief What is wanted of a claim.
enum class operation_kind : std::uint8_t { make_claim, record_outcome, abandon };

/// \brief One thing wanted of one claim, and how far it has come.
struct operation {
    operation_kind kind = operation_kind::make_claim;
    claim wanted;              ///< with its outcome, if that is to be recorded
    std::uint64_t segment = 0; ///< of the claim; for a new claim set once it may stand there

    bool is_finished = false;
    bool is_uncertain = false;            ///< a write of it has no known outcome
    std::vector<std::uint64_t> ruled_out; ///< segments that turned out not to have the key
    result<segment_verdict> verdict = granted{};
};

/// \brief Applies operations to the segments of a shard, one store call after another.
///
/// All operations on one segment go into one compare-and-swap. After a write whose outcome is not
/// known the segment is read back: the attempt's name in it tells whether the write took effect.
class commit_run {
public:
    /// \param view of the operations' shard; used by one run at a time
    /// \param operations of one shard; they outlive the run
    commit_run(shard_view& view, std::vector<operation*> operations, const clock& time);

    /// \brief Makes at most one store call.
    /// \returns whether all operations are finished
    bool step(store::key_value_store& shared);

private:
    [[nodiscard]] bool is_finished() const;
    [[nodiscard]] std::uint64_t place_of(const operation& wanted) const;
    [[nodiscard]] std::vector<operation*> operations_at(std::uint64_t number) const;
    void load_view(store::key_value_store& shared);
    void fetch(store::key_value_store& shared, std::uint64_t number);
    void meet_absent(std::uint64_t number);
    void take_in(const store::entry& read, std::uint64_t number);
    void resolve(store::key_value_store& shared);
    void settle_unchanged(const std::vector<operation*>& served);
    void write(store::key_value_store& shared, segment changed,
               const std::vector<operation*>& served);
    void meet_written(segment written, revision at, const std::vector<operation*>& served);
    void meet_refused(const store::swap_outcome& refused);
    void meet_error(const std::error_code& error);
    void meet_lost_race();
    void fail_all(const std::error_code& error);

    shard_view& view_;
    std::vector<operation*> operations_;
    const clock& time_;
    std::optional<held_segment> held_;
    int errors_ = 0;
    int lost_races_ = 0;
};

/// \brief Compacts or erases at most one segment that is due.
/// \returns whether there was one
bool sweep_one(shard_view& view, store::key_value_store& shared, wall_time now);

} // namespace cicadahatch::claims
