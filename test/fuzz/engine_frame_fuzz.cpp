#include "cicadahatch/core"
#include "cicadahatch/engines"
#include "src/engines/frame.hpp"
#include "test/fuzz/fuzz_target.hpp"

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    return {R"({"attempt":1,"position":7,"text":"lace"})", "[DONE]"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace cicadahatch;
    const auto parsed = engines::parse_frame(fuzz::as_text(data, size));
    if (!parsed) {
        CICADAHATCH_ASSERT(parsed.error(), refused_frame_has_a_code);
    }
    return 0;
}
