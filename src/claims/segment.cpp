#include "src/claims/segment.hpp"

#include "src/claims/constants.hpp"
#include "src/claims/error.hpp"
#include "src/core/cbor.hpp"
#include "src/core/constants.hpp"
#include "src/core/hash.hpp"

#include <algorithm>

namespace cicadahatch::claims {

namespace {

using nlohmann::json;

constexpr std::size_t segment_fields = 6;
constexpr std::size_t claim_fields = 9;
constexpr std::size_t outcome_fields = 6;

std::int64_t to_milliseconds(wall_time at) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count();
}

/// Rounded up, so that no stored time is earlier than the one it stands for.
wall_time rounded(wall_time at) {
    return std::chrono::ceil<std::chrono::milliseconds>(at);
}

json encode_outcome(const claim_outcome& outcome) {
    return json::array({outcome.status, outcome.content_type, outcome.body, outcome.body_bytes,
                        outcome.body_digest, outcome.is_body_kept});
}

json encode_claim(const claim& stored) {
    const bool has_outcome = stored.state == claim_state::completed;
    return json::array({stored.key.str(), stored.digest.value(), stored.attempt.str(),
                        stored.owner.str(), static_cast<unsigned>(stored.state),
                        to_milliseconds(stored.claimed_at), to_milliseconds(stored.answer_by),
                        to_milliseconds(stored.kept_until),
                        has_outcome ? encode_outcome(stored.outcome) : json{}});
}

bool is_array(const json& value, std::size_t size) {
    return value.is_array() && value.size() == size;
}

bool is_text(const json& value, std::size_t max_bytes) {
    return value.is_string() && value.get_ref<const std::string&>().size() <= max_bytes;
}

/// A time in milliseconds that fits the clock, with all that is ever added to it.
bool is_time(const json& value) {
    constexpr auto longest = max_kept * (tombstone_kept_times + 1);
    constexpr std::int64_t limit = std::chrono::duration_cast<std::chrono::milliseconds>(
                                       wall_time::max().time_since_epoch() - longest)
                                       .count();
    return value.is_number_integer() && value >= 0 && value < limit;
}

wall_time to_time(const json& value) {
    return wall_time{std::chrono::milliseconds{value.get<std::int64_t>()}};
}

bool has_outcome_shape(const json& value) {
    return is_array(value, outcome_fields) && value[0].is_number_unsigned() && value[0] < 1'000 &&
           is_text(value[1], max_content_type_bytes) && is_text(value[2], max_kept_body_bytes) &&
           value[3].is_number_unsigned() && value[4].is_number_unsigned() && value[5].is_boolean();
}

bool has_kept_time(const json& claimed_at, const json& kept_until) {
    const wall_time from = to_time(claimed_at);
    const wall_time until = to_time(kept_until);
    return from <= until && until - from <= max_kept + std::chrono::milliseconds{1};
}

bool has_claim_shape(const json& value) {
    return is_array(value, claim_fields) && is_text(value[0], max_name_bytes) &&
           value[1].is_number_unsigned() && is_text(value[2], max_name_bytes) &&
           is_text(value[3], max_name_bytes) && value[4].is_number_unsigned() &&
           value[4] <= static_cast<unsigned>(claim_state::completed) && is_time(value[5]) &&
           is_time(value[6]) && is_time(value[7]) && has_kept_time(value[5], value[7]);
}

result<claim> decode_claim(const json& value) {
    if (!has_claim_shape(value)) {
        return failure(errc::malformed);
    }
    claim read;
    read.key = idempotency_key{value[0].get<std::string>()};
    read.digest = request_digest{value[1].get<std::uint64_t>()};
    read.attempt = claim_attempt{value[2].get<std::string>()};
    read.owner = daemon_id{value[3].get<std::string>()};
    read.state = static_cast<claim_state>(value[4].get<unsigned>());
    read.claimed_at = to_time(value[5]);
    read.answer_by = to_time(value[6]);
    read.kept_until = to_time(value[7]);
    if (read.state != claim_state::completed) {
        return read;
    }
    const json& outcome = value[8];
    if (!has_outcome_shape(outcome)) {
        return failure(errc::malformed);
    }
    read.outcome = {outcome[0].get<int>(),           outcome[1].get<std::string>(),
                    outcome[2].get<std::string>(),   outcome[3].get<std::uint64_t>(),
                    outcome[4].get<std::uint64_t>(), outcome[5].get<bool>()};
    return read;
}

bool has_segment_shape(const json& value) {
    return is_array(value, segment_fields) && value[0] == layout_version &&
           value[1].is_number_unsigned() && value[2].is_boolean() && value[3].is_array() &&
           value[4].is_array() && is_time(value[5]);
}

claim* find_claim(segment& in, const idempotency_key& key) {
    const auto found = std::find_if(in.claims.begin(), in.claims.end(),
                                    [&](const claim& each) { return each.key == key; });
    return found == in.claims.end() ? nullptr : &*found;
}

bool has_tombstone(const segment& in, const idempotency_key& key) {
    return std::binary_search(in.tombstones.begin(), in.tombstones.end(), digest_of(key));
}

claim as_stored(const claim& wanted) {
    claim stored = wanted;
    stored.claimed_at = rounded(wanted.claimed_at);
    stored.answer_by = rounded(wanted.answer_by);
    stored.kept_until = rounded(wanted.kept_until);
    return stored;
}

void put(segment& in, const claim& wanted) {
    in.claims.push_back(as_stored(wanted));
    const auto kept = wanted.kept_until - wanted.claimed_at;
    const auto age = wanted.claimed_at - in.claims.front().claimed_at;
    in.is_sealed =
        in.claims.size() >= max_segment_claims || age > kept / segment_ages_per_kept_time;
}

/// What a standing claim says to another attempt.
segment_verdict judge_standing(claim& standing, const claim& wanted, wall_time now) {
    if (standing.digest != wanted.digest) {
        return key_reused{};
    }
    switch (standing.state) {
    case claim_state::completed:
        return completed{standing.outcome};
    case claim_state::abandoned:
        standing = as_stored(wanted);
        return granted{};
    case claim_state::claimed:
        break;
    }
    if (now <= standing.answer_by + max_clock_skew) {
        return in_progress{};
    }
    return unknown_outcome{};
}

} // namespace

std::uint64_t digest_of(const idempotency_key& key) {
    return stable_hash(key.str());
}

std::string encode(const segment& stored) {
    json claims = json::array();
    for (const claim& each : stored.claims) {
        claims.push_back(encode_claim(each));
    }
    return encode_cbor(
        json::array({layout_version, stored.number, stored.is_sealed, std::move(claims),
                     stored.tombstones, to_milliseconds(stored.tombstones_until)}));
}

result<segment> decode_segment(std::string_view value) {
    const auto decoded = decode_cbor(value);
    if (!decoded || !has_segment_shape(*decoded)) {
        return failure(errc::malformed);
    }
    const json& fields = *decoded;
    segment read;
    read.number = fields[1].get<std::uint64_t>();
    read.is_sealed = fields[2].get<bool>();
    for (const json& each : fields[3]) {
        auto stored = decode_claim(each);
        if (!stored) {
            return tl::unexpected(stored.error());
        }
        read.claims.push_back(std::move(*stored));
    }
    for (const json& each : fields[4]) {
        if (!each.is_number_unsigned()) {
            return failure(errc::malformed);
        }
        read.tombstones.push_back(each.get<std::uint64_t>());
    }
    if (!std::is_sorted(read.tombstones.begin(), read.tombstones.end())) {
        return failure(errc::malformed);
    }
    read.tombstones_until = to_time(fields[5]);
    return read;
}

segment_verdict apply_claim(segment& in, const claim& wanted, wall_time now) {
    claim* standing = find_claim(in, wanted.key);
    const bool is_own = standing != nullptr && standing->attempt == wanted.attempt;
    if (is_own && standing->state == claim_state::claimed) {
        return granted{};
    }
    if (is_own) {
        return unknown_outcome{};
    }
    if (standing != nullptr) {
        return judge_standing(*standing, wanted, now);
    }
    if (has_tombstone(in, wanted.key)) {
        return key_expired{};
    }
    if (in.is_sealed) {
        return not_here{};
    }
    put(in, wanted);
    return granted{};
}

bool apply_outcome(segment& in, const idempotency_key& key, const claim_attempt& attempt,
                   const claim_outcome& outcome) {
    claim* standing = find_claim(in, key);
    if (standing == nullptr || standing->attempt != attempt) {
        return false;
    }
    standing->state = claim_state::completed;
    standing->outcome = outcome;
    return true;
}

void apply_abandonment(segment& in, const claim& given_up) {
    claim* standing = find_claim(in, given_up.key);
    const bool is_own = standing != nullptr && standing->attempt == given_up.attempt;
    if (is_own && standing->state == claim_state::claimed) {
        standing->state = claim_state::abandoned;
        return;
    }
    if (standing != nullptr && standing->state == claim_state::abandoned) {
        standing->attempt = given_up.attempt;
        return;
    }
    if (standing == nullptr && !in.is_sealed) {
        claim mark = given_up;
        mark.state = claim_state::abandoned;
        put(in, mark);
    }
}

bool is_compactable(const segment& stored, wall_time now) {
    const bool has_expired =
        std::all_of(stored.claims.begin(), stored.claims.end(),
                    [&](const claim& each) { return each.kept_until + max_clock_skew < now; });
    return stored.is_sealed && !stored.claims.empty() && has_expired;
}

void compact(segment& stored) {
    for (const claim& each : stored.claims) {
        if (each.state == claim_state::abandoned) {
            continue;
        }
        const auto kept = each.kept_until - each.claimed_at;
        stored.tombstones.push_back(digest_of(each.key));
        stored.tombstones_until =
            std::max(stored.tombstones_until, each.kept_until + kept * tombstone_kept_times);
    }
    stored.claims.clear();
    std::sort(stored.tombstones.begin(), stored.tombstones.end());
}

bool is_erasable(const segment& stored, wall_time now) {
    return stored.is_sealed && stored.claims.empty() &&
           stored.tombstones_until + max_clock_skew < now;
}

std::vector<std::uint64_t> digests_of(const segment& stored) {
    std::vector<std::uint64_t> digests = stored.tombstones;
    for (const claim& each : stored.claims) {
        digests.push_back(digest_of(each.key));
    }
    std::sort(digests.begin(), digests.end());
    return digests;
}

} // namespace cicadahatch::claims
