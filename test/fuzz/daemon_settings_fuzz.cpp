#include "cicadahatch/core"
#include "cicadahatch/settings"
#include "test/fuzz/fuzz_target.hpp"

std::vector<std::string> cicadahatch::fuzz::seed_inputs() {
    return {R"({"name": "d", "domain": "a", "callers": {"address": "127.0.0.1:0", "threads": 9},
                "admin": {"address": "[::1]:0", "tls_certificate": "a.pem", "tls_peer_ca": "b"},
                "peers": {"address": "127.0.0.1:8082"}, "peer_secret": "0123456789abcdef",
                "platform_endpoints": ["127.0.0.1:2379"], // note
                "weights": {"goodput": 0.5}, "stall_timeout_ms": 500, "log_level": 1})"};
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    using namespace cicadahatch;
    const auto parsed = settings::parse_daemon_settings(fuzz::as_text(data, size), "input");
    for (const settings::field_error& fault : parsed.errors) {
        CICADAHATCH_ASSERT(fault.code, fault_has_a_code);
        CICADAHATCH_ASSERT(!fault.accepted.empty(), fault_names_what_is_accepted);
    }
    if (parsed.is_valid()) {
        CICADAHATCH_ASSERT(!parsed.value.name.empty(), sound_settings_have_a_name);
        CICADAHATCH_ASSERT(parsed.value.reserved_workers < parsed.value.callers.threads,
                           sound_settings_leave_workers_unreserved);
    }
    return 0;
}
