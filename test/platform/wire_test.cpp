#include "platform/wire.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

struct wire_fixture {
    forwarding::wire_protocol wire = platform::wire_protocol();
    forwarding::field_map head;

    [[nodiscard]] std::string field(const char* name) const {
        const auto value = head[name];
        return {value.data(), value.size()};
    }
};

} // namespace

TEST_CASE_FIXTURE(wire_fixture, "parse_request, streaming request, decodes every field") {
    head.set("X-Cicadahatch-Attempt-Id", "abc");
    head.set("X-Cicadahatch-Deadline-Ms", "14000");
    head.set("X-Cicadahatch-Token-Usage", "1460,80");
    head.set("X-Cicadahatch-Length-Hint", "33");
    head.set("X-Cicadahatch-Prompt-Prefix", "5c1e07a2:800,e4402b7d:250");
    head.set("Last-Event-Id", "12");
    const auto metadata = wire.parse_request(head);
    CHECK(metadata.id == request_id{"abc"});
    CHECK(metadata.timeout == 14000ms);
    CHECK(metadata.prompt_tokens == 1460);
    CHECK(metadata.max_output_tokens == 80);
    CHECK(metadata.expected_output_tokens == 33);
    CHECK(metadata.last_event == 12);
    head.set("X-Cicadahatch-Attempt-Id", "other");
    CHECK(wire.parse_request(head).prompt_key == metadata.prompt_key);
    head.set("X-Cicadahatch-Prompt-Prefix", "5c1e07a2:800,e4402b7e:250");
    CHECK(wire.parse_request(head).prompt_key != metadata.prompt_key);
}

TEST_CASE_FIXTURE(wire_fixture, "parse_request, parts of the prompt, all but the last are shared") {
    head.set("X-Cicadahatch-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    const auto parts = wire.parse_request(head).shared_prompt_parts;
    REQUIRE(parts.size() == 2);
    CHECK(parts[0] != parts[1]);
    head.set("X-Cicadahatch-Prompt-Prefix", "91bd3f06:4,77:1");
    CHECK(wire.parse_request(head).shared_prompt_parts == std::vector{parts[1]});
    head.set("X-Cicadahatch-Prompt-Prefix", "77:1");
    CHECK(wire.parse_request(head).shared_prompt_parts.empty());
}

TEST_CASE_FIXTURE(wire_fixture, "parse_request, flood of parts, reads a bounded number of them") {
    std::string parts;
    for (int part = 0; part < 1000; ++part) {
        parts += std::to_string(part) + ":1,";
    }
    head.set("X-Cicadahatch-Prompt-Prefix", parts + "ff:1");
    CHECK(wire.parse_request(head).shared_prompt_parts.size() == 64);
}

TEST_CASE_FIXTURE(wire_fixture, "parse_request, missing or non-numeric fields, uses the defaults") {
    head.set("X-Cicadahatch-Deadline-Ms", "soon");
    head.set("X-Cicadahatch-Token-Usage", "many");
    const auto metadata = wire.parse_request(head);
    CHECK(metadata.id.empty());
    CHECK_FALSE(metadata.timeout);
    CHECK(metadata.prompt_tokens == 0);
    CHECK(metadata.prompt_key == 0);
}

TEST_CASE_FIXTURE(wire_fixture, "set_request_fields, reserved fields of a caller, are removed") {
    for (const char* name : {"X-Cicadahatch-Kv-Hold", "X-Cicadahatch-Pin-Ms",
                             "X-Cicadahatch-Kv-Backup", "X-Cicadahatch-Kv-Source",
                             "X-Cicadahatch-Stage", "X-Cicadahatch-Expected-Version", "Kv-Fetch"}) {
        head.set(name, "1");
    }
    forwarding::send_options options;
    options.target = backend_id{"i-1"};
    options.time_left = 700ms;
    wire.set_request_fields(head, options);
    CHECK(field("X-Cicadahatch-Kv-Hold").empty());
    CHECK(field("X-Cicadahatch-Pin-Ms").empty());
    CHECK(field("X-Cicadahatch-Kv-Backup").empty());
    CHECK(field("X-Cicadahatch-Kv-Source").empty());
    CHECK(field("X-Cicadahatch-Stage").empty());
    CHECK(field("X-Cicadahatch-Expected-Version").empty());
    CHECK(field("Kv-Fetch").empty());
    CHECK(field("X-Cicadahatch-Target-Instance") == "i-1");
    CHECK(field("X-Cicadahatch-Deadline-Ms") == "700");
}

TEST_CASE_FIXTURE(wire_fixture,
                  "set_request_fields, decode with a hold and a KV source, sets both") {
    forwarding::send_options options;
    options.priority = 12;
    options.hold = "h7";
    options.kv_source = wire.make_kv_source({"10.1.2.3", 80}, "k9");
    options.last_event = 4;
    wire.set_request_fields(head, options);
    CHECK(field("X-Cicadahatch-Kv-Hold") == "h7");
    CHECK(field("X-Cicadahatch-Kv-Source") == "10.1.2.3:80/k9");
    CHECK(field("X-Cicadahatch-Request-Priority") == "9");
    CHECK(field("Last-Event-Id") == "4");
}

TEST_CASE_FIXTURE(wire_fixture, "set_request_fields, deadline passed, sets the time left to zero") {
    forwarding::send_options options;
    options.time_left = -5ms;
    wire.set_request_fields(head, options);
    CHECK(field("X-Cicadahatch-Deadline-Ms") == "0");
}

TEST_CASE_FIXTURE(wire_fixture,
                  "parse_response, signature and not-executed field, are distinguished") {
    head.set("X-Cicadahatch-Server-Signature", "s");
    CHECK(wire.parse_response(head).is_signed);
    CHECK_FALSE(wire.parse_response(head).is_not_executed);
    head.set("X-Cicadahatch-Not-Executed", "1");
    CHECK(wire.parse_response(head).is_not_executed);
}

TEST_CASE_FIXTURE(wire_fixture, "parse_response, leaving and Retry-After fields, are decoded") {
    CHECK_FALSE(wire.parse_response(head).is_leaving);
    CHECK_FALSE(wire.parse_response(head).retry_after);
    head.set("Server-Leaving", "1");
    head.set("Retry-After", "2.5");
    CHECK(wire.parse_response(head).is_leaving);
    CHECK(wire.parse_response(head).retry_after == 2500ms);
    for (const char* unusable : {"-1", "0", "soon", ""}) {
        head.set("Retry-After", unusable);
        CHECK_FALSE(wire.parse_response(head).retry_after);
    }
}

TEST_CASE_FIXTURE(wire_fixture, "parse_hold and parse_prefill, malformed bodies, are errors") {
    CHECK(wire.parse_hold(R"({"hold":"h"})").value() == "h");
    CHECK(wire.parse_hold(R"({"hold":17})").value() == "17");
    CHECK_FALSE(wire.parse_hold("{}"));
    CHECK_FALSE(wire.parse_hold("no json"));
    CHECK(wire.parse_prefill(R"({"kvHandle":"k","tokens":5,"version":1})")->handle == "k");
    CHECK_FALSE(wire.parse_prefill(R"({"tokens":5})"));
}

TEST_CASE_FIXTURE(wire_fixture, "engine's answers, deeply nested or huge, are bad responses") {
    const std::string opening(200'000, '[');
    const std::string closing(opening.size(), ']');
    const std::string nested = opening + closing;
    CHECK_FALSE(wire.parse_hold(R"({"hold":)" + nested + "}"));
    CHECK_FALSE(wire.parse_prefill(R"({"kvHandle":)" + nested + "}"));
    CHECK_FALSE(wire.parse_hold(R"({"hold":[1]})"));
    CHECK_FALSE(wire.parse_hold(R"({"hold":null})"));
    CHECK(wire.parse_hold(R"({"hold":7})").value() == "7");
    CHECK_FALSE(wire.parse_report(R"({"running":1e300,"kvUsed":0})"));
    CHECK_FALSE(wire.parse_report(R"({"running":-1,"kvUsed":0})"));
    CHECK_FALSE(wire.parse_report(R"({"running":1,"kvUsed":0,"seq":1e300})"));
}

TEST_CASE_FIXTURE(wire_fixture, "parse_request, key, is read with its scheme only") {
    CHECK_FALSE(wire.parse_request(head).key);
    head.set("Authorization", "Token  abc");
    CHECK(wire.parse_request(head).key == "abc");
    head.set("Authorization", "tOKEN abc");
    CHECK(wire.parse_request(head).key == "abc");
    for (const char* value : {"Token", "Token ", "Basic abc", "Tokenabc", ""}) {
        head.set("Authorization", value);
        CHECK_FALSE(wire.parse_request(head).key);
    }
}

TEST_CASE_FIXTURE(wire_fixture, "set_team, key and team of the caller, are replaced by the team") {
    head.set("Authorization", "Token abc");
    head.set("X-Cicadahatch-Tenant", "forged");
    wire.set_team(head, team_id{"blue"});
    CHECK(field("Authorization").empty());
    CHECK(field("X-Cicadahatch-Tenant") == "blue");
    wire.set_team(head, {});
    CHECK(field("X-Cicadahatch-Tenant").empty());
}
