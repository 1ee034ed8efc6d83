#include "cicadahatch/claims"
#include "cicadahatch/core"
#include "test/fuzz/fuzz_target.hpp"

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    using namespace std::chrono_literals;
    claims::claim made;
    made.key = idempotency_key{"key"};
    made.attempt = claims::claim_attempt{"attempt"};
    made.owner = daemon_id{"daemon"};
    made.claimed_at = wall_time{1'000'000s};
    made.answer_by = made.claimed_at + 10s;
    made.kept_until = made.claimed_at + 24h;
    made.outcome = claims::make_outcome(200, "application/json", "{}");
    claims::segment open{1, false, {made}, {}, {}};
    claims::segment sealed{2, true, {made, made}, {}, {}};
    claims::segment compacted{3, true, {}, {7, 8, 9}, made.kept_until};
    return {claims::encode(open), claims::encode(sealed), claims::encode(compacted)};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace cicadahatch;
    const auto decoded = claims::decode_segment(fuzz::as_text(data, size));
    if (decoded) {
        const auto again = claims::decode_segment(claims::encode(*decoded));
        CICADAHATCH_ASSERT(again.has_value(), encoded_segment_is_sound);
        CICADAHATCH_ASSERT(*again == *decoded, encoded_segment_is_the_same);
    }
    return 0;
}
