#include "cicadahatch/core"
#include "cicadahatch/metrics"
#include "test/fuzz/fuzz_target.hpp"

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    using namespace std::chrono_literals;
    const manual_clock time;
    metrics::request_recorder recorder{time};
    metrics::request_observation seen;
    seen.service = service_id{"pattern"};
    seen.first_token = 120ms;
    seen.between_tokens = 30ms;
    recorder.record(seen);
    seen.outcome = metrics::request_outcome::refused;
    seen.reason = metrics::refusal_reason{"queue_full"};
    recorder.record(seen);
    return {metrics::encode(recorder.take_snapshot()), metrics::encode(metrics::snapshot{})};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace cicadahatch;
    const auto decoded = metrics::decode_snapshot(fuzz::as_text(data, size));
    if (decoded) {
        const auto again = metrics::decode_snapshot(metrics::encode(*decoded));
        CICADAHATCH_ASSERT(again.has_value(), encoded_snapshot_is_sound);
        CICADAHATCH_ASSERT(*again == *decoded, encoded_snapshot_is_the_same);
        metrics::snapshot merged = *decoded;
        metrics::merge(merged, *again);
        static_cast<void>(metrics::make_burn_report(merged, {}, wall_time{}));
    }
    return 0;
}
