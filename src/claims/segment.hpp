#pragma once

#include "src/claims/claim.hpp"
#include "src/core/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cicadahatch::claims {

/// \brief A shared value of the store: the claims of one shard that were made one after another.
///
/// The segments of a shard are numbered from one. The last one is the head, the only one that
/// takes new keys. Sealing it makes its set of keys final; only then the next one may be created.
struct segment {
    std::uint64_t number = 0;
    bool is_sealed = false;
    std::vector<claim> claims;
    std::vector<std::uint64_t> tombstones; ///< sorted digests of the keys of dropped claims
    wall_time tombstones_until;            ///< the segment is erased after it

    friend bool operator==(const segment&, const segment&) = default;
};

/// \returns the digest under which a key is looked up
[[nodiscard]] std::uint64_t digest_of(const idempotency_key& key);

/// \returns the value to store
[[nodiscard]] std::string encode(const segment& stored);

/// \returns the segment, or errc::malformed
[[nodiscard]] result<segment> decode_segment(std::string_view value);

/// The claim is made for this attempt.
struct granted {};

/// This segment neither has the key nor takes it; look further.
struct not_here {};

/// What a segment says to an attempt to claim.
using segment_verdict = std::variant<granted, in_progress, completed, unknown_outcome, key_reused,
                                     key_expired, not_here>;

/// \brief Claims a key, or says what stands in the way. Changes the segment only to grant.
/// \param wanted the claim as it is to be stored
/// \param now the calendar time, to tell "in progress" from "unknown"
[[nodiscard]] segment_verdict apply_claim(segment& in, const claim& wanted, wall_time now);

/// \brief Records the outcome of an attempt.
/// \returns whether the attempt's claim is there, now or before
bool apply_outcome(segment& in, const idempotency_key& key, const claim_attempt& attempt,
                   const claim_outcome& outcome);

/// \brief Marks the claim of an attempt that has sent nothing, and never will, as abandoned. Where
/// the attempt's claim may still land, the mark is put in its place: in an unsealed segment without
/// the key, or over another abandoned attempt. A delayed write then meets another revision.
void apply_abandonment(segment& in, const claim& given_up);

/// \returns whether all claims of a sealed segment may be replaced by tombstones
[[nodiscard]] bool is_compactable(const segment& stored, wall_time now);

/// \brief Replaces the claims that may have run by tombstones and drops the abandoned ones.
void compact(segment& stored);

/// \returns whether the segment may be erased
[[nodiscard]] bool is_erasable(const segment& stored, wall_time now);

/// \returns the digests of all keys that the segment knows, sorted
[[nodiscard]] std::vector<std::uint64_t> digests_of(const segment& stored);

} // namespace cicadahatch::claims
