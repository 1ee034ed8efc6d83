#include "cicadahatch/settings"

#include <doctest/doctest.h>

#include <ostream>
#include <string>
#include <vector>

namespace {

using namespace cicadahatch;
using namespace std::chrono_literals;
using settings::errc;

struct daemon_fixture {
    std::string text = R"({
  "name": "entry-1",
  "domain": "domain-a",
  "callers": { "address": "127.0.0.1:0", "threads": 16 },
  "admin": { "address": "127.0.0.1:8081" },
  "peers": { "address": "127.0.0.1:8082" },
  "peer_secret": "0123456789abcdef",
  "platform_endpoints": ["127.0.0.1:2379"], // the stand-in
  "reserved_workers": 4,
  "stall_timeout_ms": 500
})";

    [[nodiscard]] std::vector<settings::field_error> faults_with(const std::string& replaced,
                                                                 const std::string& by) const {
        const std::size_t at = text.find(replaced);
        REQUIRE(at != std::string::npos);
        std::string changed = text;
        changed.replace(at, replaced.size(), by);
        return settings::parse_daemon_settings(changed, "daemon.json").errors;
    }

    void check_fault(const std::string& replaced, const std::string& by, const std::string& field,
                     errc code) const {
        CAPTURE(by);
        const auto faults = faults_with(replaced, by);
        REQUIRE(faults.size() == 1);
        CHECK(faults.front().field == field);
        CHECK(faults.front().code == code);
        CHECK(faults.front().line > 0);
        CHECK_FALSE(faults.front().accepted.empty());
    }
};

} // namespace

TEST_CASE_FIXTURE(daemon_fixture, "parse_daemon_settings, sound file, its values") {
    const auto parsed = settings::parse_daemon_settings(text, "daemon.json");
    REQUIRE(parsed.is_valid());
    CHECK(parsed.value.callers.threads == 16);
    CHECK(parsed.value.admin.threads == 64);
    CHECK(parsed.value.stall_timeout == 500ms);
    CHECK(parsed.value.platform_endpoints.size() == 1);
}

TEST_CASE_FIXTURE(daemon_fixture, "parse_daemon_settings, one broken field, one fault") {
    check_fault(R"("name": "entry-1",)", "", "name", errc::missing_field);
    check_fault(R"("threads": 16)", R"("threads": 0)", "callers.threads", errc::out_of_range);
    check_fault(R"("threads": 16)", R"("threads": true)", "callers.threads", errc::wrong_type);
    check_fault(R"("threads": 16)", R"("thread": 16)", "callers.thread", errc::unknown_field);
    check_fault(R"(["127.0.0.1:2379"])", "[]", "platform_endpoints", errc::out_of_range);
    check_fault(R"(["127.0.0.1:2379"])", R"(["platform:2379"])", "platform_endpoints[0]",
                errc::out_of_range);
    check_fault("0123456789abcdef", "short", "peer_secret", errc::out_of_range);
}

TEST_CASE_FIXTURE(daemon_fixture, "parse_daemon_settings, contradictory fields, one fault") {
    check_fault(R"("reserved_workers": 4)", R"("reserved_workers": 16)", "reserved_workers",
                errc::contradictory);
    check_fault(R"("stall_timeout_ms": 500)",
                R"("stall_timeout_ms": 500, "shutdown_bound_ms": 400)", "stall_timeout_ms",
                errc::contradictory);
    check_fault(R"("threads": 16)", R"("threads": 16, "tls_peer_ca": "ca.pem")",
                "callers.tls_peer_ca", errc::contradictory);
    check_fault(R"("127.0.0.1:8082")", R"("127.0.0.1:8082", "tls_certificate": "own.pem")",
                "peers.tls_certificate", errc::contradictory);
    check_fault("127.0.0.1:8082", "127.0.0.1:8081", "peers.address", errc::contradictory);
    check_fault(R"("peer_secret": "0123456789abcdef",)", "", "peer_secret", errc::missing_field);
    check_fault(R"("address": "127.0.0.1:8081")", R"("address": "10.0.0.1:8081")", "admin_token",
                errc::missing_field);
    check_fault(R"("address": "127.0.0.1:0",)", "", "callers.address", errc::missing_field);
    check_fault(R"("reserved_workers": 4)",
                R"("weights": {"goodput": 0, "wasted_prefill": 0, "urgent_service": 0,
                   "rest_in_flood": 0})",
                "weights", errc::contradictory);
    check_fault(R"("reserved_workers": 4)", R"("admin_token": "0123456789abcdef")", "admin_token",
                errc::contradictory);
}

TEST_CASE_FIXTURE(daemon_fixture, "parse_daemon_settings, no peers listener, needs no secret") {
    text.replace(text.find(R"("peers": { "address": "127.0.0.1:8082" },)"), 41, "");
    CHECK(faults_with(R"("peer_secret": "0123456789abcdef",)", "").empty());
}
