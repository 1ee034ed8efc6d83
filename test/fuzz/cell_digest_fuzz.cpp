#include "cicadahatch/core"
#include "src/serving/digest_book.hpp"
#include "test/fuzz/fuzz_target.hpp"

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    scheduling::cell_digest told;
    told.id = cell_id{"pattern/port-louis-a/0"};
    told.domain = domain_id{"port-louis-a"};
    told.model = model_id{"pattern"};
    return {serving::encode_digest(told), serving::encode_digest({})};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace cicadahatch;
    const auto decoded = serving::decode_digest(fuzz::as_text(data, size), time_point{});
    if (decoded) {
        const std::string encoded = serving::encode_digest(*decoded);
        const auto again = serving::decode_digest(encoded, time_point{});
        CICADAHATCH_ASSERT(again.has_value(), encoded_digest_is_sound);
        CICADAHATCH_ASSERT(serving::encode_digest(*again) == encoded, encoded_digest_is_stable);
    }
    return 0;
}
