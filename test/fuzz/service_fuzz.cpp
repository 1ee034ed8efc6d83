#include "cicadahatch/core"
#include "cicadahatch/settings"
#include "test/fuzz/fuzz_target.hpp"
#include "test/support/sample_settings.hpp"

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    return {settings::render_service(test_support::sample_model_service()),
            settings::render_service(test_support::sample_plain_service()), "// note\n{ }"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace cicadahatch;
    const auto parsed = settings::parse_service(fuzz::as_text(data, size), "input");
    for (const settings::field_error& fault : parsed.errors) {
        CICADAHATCH_ASSERT(fault.code, fault_has_a_code);
        CICADAHATCH_ASSERT(!fault.accepted.empty(), fault_names_what_is_accepted);
    }
    if (parsed.is_valid()) {
        const std::string rendered = settings::render_service(parsed.value);
        const auto again = settings::parse_service(rendered, "rendered");
        CICADAHATCH_ASSERT(again.is_valid(), canonical_service_is_sound);
        CICADAHATCH_ASSERT(settings::render_service(again.value) == rendered,
                           canonical_service_is_stable);
    }
    return 0;
}
