#include "cicadahatch/core"
#include "src/serving/completion_request.hpp"
#include "test/fuzz/fuzz_target.hpp"

#include <nlohmann/json.hpp>

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    return {R"({"model":"pattern","prompt":"edge of lace","max_tokens":16,"stream":true})",
            R"({"model":"soil-route","prompt":"\u00f1 \ud83d\ude00"})"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace cicadahatch;
    const auto parsed = serving::parse_completion(fuzz::as_text(data, size));
    if (!parsed) {
        CICADAHATCH_ASSERT(parsed.error().ran == execution::not_run, refused_body_has_not_run);
        const std::string problem = serving::to_json(parsed.error(), request_id{"r"});
        CICADAHATCH_ASSERT(nlohmann::json::accept(problem), problem_is_json);
        return 0;
    }
    CICADAHATCH_ASSERT(!parsed->service.empty(), sound_body_names_a_service);
    static_cast<void>(serving::prefix_hashes(parsed->prompt));
    return 0;
}
