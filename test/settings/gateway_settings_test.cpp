#include "src/settings/error.hpp"
#include "src/settings/gateway_settings.hpp"
#include "test/support/paths.hpp"

#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <map>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using settings::errc;

/// Keeps the sections of the template whose field has a value, and removes the others.
void resolve_sections(std::string& text, const std::map<std::string, std::string>& values) {
    for (std::size_t begin = text.find("{{#"); begin != std::string::npos;
         begin = text.find("{{#")) {
        const std::string name = text.substr(begin + 3, text.find("}}", begin) - begin - 3);
        const std::string opening = "{{#" + name + "}}";
        const std::string closing = "{{/" + name + "}}";
        const std::size_t end = text.find(closing, begin);
        REQUIRE(end != std::string::npos);
        const std::size_t content = begin + opening.size();
        const std::string kept =
            values.contains(name) ? text.substr(content, end - content) : std::string{};
        text.replace(begin, end + closing.size() - begin, kept);
    }
}

/// The deployment's template, filled in as the platform does for a machine.
/// \param stated fields beside those that every deployment states
std::string filled_template(const std::map<std::string, std::string>& stated = {}) {
    std::ifstream input(test_support::source_dir() + "/deploy/settings.json");
    std::string text{std::istreambuf_iterator<char>(input), {}};
    std::map<std::string, std::string> values{{"nodeName|json", "\"front-a-1\""},
                                              {"zone|json", "\"zone-a\""},
                                              {"ip", "10.1.0.35"},
                                              {"listen.front|json", "\"10.1.0.35:8144\""},
                                              {"listen.ready|json", "\"10.1.0.35:8140\""},
                                              {"internalPorts.0", "7660"},
                                              {"internalPorts.1", "7675"},
                                              {"platform.address|json", "\"10.200.1.7:8142\""},
                                              {"platform.readsPerS|json", "2000"},
                                              {"platform.writesPerS|json", "400"},
                                              {"limits.memoryMb|json", "110"},
                                              {"limits.maxFds|json", "4100"},
                                              {"bounds.drainMs|json", "2000"},
                                              {"bounds.configApplyMs|json", "2000"},
                                              {"bounds.stableMs|json", "2500"},
                                              {"bounds.graceS|json", "8"},
                                              {"bounds.retryBudgetRatio|json", "0.2"},
                                              {"bounds.budgetExtra|json", "54"},
                                              {"bounds.transitMs|json", "120"},
                                              {"bounds.leaseMs|json", "3000"},
                                              {"bounds.requireFencing|json", "false"}};
    values.insert(stated.begin(), stated.end());
    resolve_sections(text, values);
    for (const auto& [name, value] : values) {
        const std::string placeholder = "{{" + name + "}}";
        for (std::size_t at = text.find(placeholder); at != std::string::npos;
             at = text.find(placeholder)) {
            text.replace(at, placeholder.size(), value);
        }
    }
    return text;
}

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("parse_gateway_settings, the deployment's template, is sound and whole") {
    const std::string text = filled_template();
    REQUIRE(text.find("{{") == std::string::npos);
    const auto read = settings::parse_gateway_settings(text, "t");
    REQUIRE(read.is_valid());
    CHECK(read.value.name == daemon_id{"front-a-1"});
    CHECK(read.value.domain == domain_id{"zone-a"});
    CHECK(read.value.callers == "10.1.0.35:8144");
    CHECK(read.value.readiness == "10.1.0.35:8140");
    CHECK(read.value.peers == "10.1.0.35:7660");
    CHECK(read.value.registry == "10.1.0.35:7675");
    CHECK(read.value.store.address == "10.200.1.7:8142");
    CHECK(read.value.limits.memory_mb == 110);
    CHECK(read.value.bounds.drain == 2000ms);
    CHECK(read.value.bounds.stabilization == 2500ms);
    CHECK(read.value.bounds.shutdown == 8s);
    CHECK(read.value.bounds.retry_ratio == doctest::Approx(0.2));
    CHECK(read.value.bounds.retry_extra == 54);
}

TEST_CASE("parse_gateway_settings, field missing, unknown or out of range, is a fault") {
    const std::string text = filled_template();
    const auto fault = [](const std::string& changed) {
        const auto read = settings::parse_gateway_settings(changed, "t");
        return read.errors.empty() ? std::error_code{} : read.errors.front().code;
    };
    CHECK(fault(replaced(text, "\"callers\"", "\"collers\"")) != std::error_code{});
    CHECK(fault(replaced(text, "10.1.0.35:8144", "somewhere")) != std::error_code{});
    CHECK(fault(replaced(text, "\"memory_mb\": 110", "\"memory_mb\": 1")) != std::error_code{});
    CHECK(fault(replaced(text, ": 0.2", ": \"x\"")) == errc::wrong_type);
}

TEST_CASE("parse_gateway_settings, deployment without teams, states no bounds for them") {
    const auto parsed = settings::parse_gateway_settings(filled_template(), "settings.json");
    REQUIRE(parsed.is_valid());
    CHECK(parsed.value.bounds.revocation == 0ms);
    CHECK(parsed.value.bounds.usage_slack == 0);
    CHECK_FALSE(parsed.value.pacing.enabled);
}

TEST_CASE("parse_gateway_settings, deployment with teams, states the bounds for them") {
    const auto parsed =
        settings::parse_gateway_settings(filled_template({{"bounds.strictRevoke", "true"},
                                                          {"bounds.revokeMs|json", "5000"},
                                                          {"bounds.quotaSlack", "120000"},
                                                          {"bounds.quotaSlack|json", "120000"}}),
                                         "settings.json");
    REQUIRE(parsed.is_valid());
    CHECK(parsed.value.bounds.revocation == 5000ms);
    CHECK(parsed.value.bounds.usage_slack == 120000);
}
