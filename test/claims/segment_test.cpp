#include "cicadahatch/claims"
#include "cicadahatch/core"
#include "test/claims/claimer.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using namespace std::chrono_literals;

struct segment_fixture {
    manual_clock time;
    claims::segment stored = [this] {
        claims::segment filled;
        filled.number = 3;
        for (int each = 0; each < 20; ++each) {
            add(filled, "key" + std::to_string(each));
        }
        claims::apply_outcome(filled, idempotency_key{"key4"}, claims::claim_attempt{"key4"},
                              claims::make_outcome(201, "text/plain", "\xff\x01 body"));
        return filled;
    }();

    claims::segment_verdict add(claims::segment& in, const std::string& key) const {
        return claims::apply_claim(in, test_support::make_claim(time, key, key), time.wall_now());
    }
};

} // namespace

TEST_CASE_FIXTURE(segment_fixture, "segment, sealed, takes no new key") {
    stored.is_sealed = true;
    CHECK(std::holds_alternative<claims::not_here>(add(stored, "new")));
    CHECK(stored.claims.size() == 20);
}

TEST_CASE_FIXTURE(segment_fixture, "segment, as many claims as it holds, is sealed") {
    for (std::size_t each = stored.claims.size(); each < claims::max_segment_claims; ++each) {
        CHECK(!stored.is_sealed);
        add(stored, "more" + std::to_string(each));
    }
    CHECK(stored.is_sealed);
}

TEST_CASE_FIXTURE(segment_fixture, "segment, compacted, keeps a tombstone of all but abandoned") {
    claims::apply_abandonment(stored, test_support::make_claim(time, "key7", "key7"));
    stored.is_sealed = true;
    CHECK(!claims::is_compactable(stored, time.wall_now() + test_support::kept_time));
    const wall_time later = time.wall_now() + test_support::kept_time + claims::max_clock_skew + 1s;
    REQUIRE(claims::is_compactable(stored, later));
    claims::compact(stored);
    CHECK(stored.tombstones.size() == 19);
    CHECK(std::holds_alternative<claims::key_expired>(add(stored, "key4")));
    CHECK(std::holds_alternative<claims::not_here>(add(stored, "key7")));
    CHECK(!claims::is_erasable(stored, later));
}

TEST_CASE_FIXTURE(segment_fixture, "segment, encoded and decoded, is the same") {
    CHECK(claims::decode_segment(claims::encode(stored)) == stored);
    claims::compact(stored);
    CHECK(claims::decode_segment(claims::encode(stored)) == stored);
}

TEST_CASE_FIXTURE(segment_fixture, "decode_segment, damaged bytes, refused or still sound") {
    const std::string sound = claims::encode(stored);
    constexpr std::uint64_t seed = 9;
    INFO("seed " << seed);
    random_source random{seed};
    int refused = 0;
    for (int round = 0; round < 5'000; ++round) {
        std::string damaged = sound.substr(0, sound.size() - random.below(2) * random.below(40));
        const std::uint64_t flips = 1 + random.below(4);
        for (std::uint64_t flip = 0; flip < flips; ++flip) {
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        }
        auto read = claims::decode_segment(damaged);
        refused += read ? 0 : 1;
        if (read) {
            CHECK(claims::decode_segment(claims::encode(*read)) == *read);
            claims::compact(*read);
        }
    }
    CHECK(refused > 1'000);
    CHECK(!claims::decode_segment(std::string(100'000, '\x81')));
}
