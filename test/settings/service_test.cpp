#include "cicadahatch/settings"
#include "test/support/sample_settings.hpp"

#include <doctest/doctest.h>

#include <ostream>
#include <string>
#include <vector>

namespace {

using namespace cicadahatch;
using settings::errc;

/// \brief One change to a sound file and the fault that it must cause.
struct fault_case {
    std::string replaced;
    std::string replacement;
    std::string field;
    errc code;
};

struct service_fixture {
    std::string text = settings::render_service(test_support::sample_model_service());
    std::string plain_text = settings::render_service(test_support::sample_plain_service());

    static void check(const std::string& sound, const fault_case& change) {
        CAPTURE(change.replaced);
        CAPTURE(change.replacement);
        const std::size_t at = sound.find(change.replaced);
        REQUIRE(at != std::string::npos);
        std::string broken = sound;
        broken.replace(at, change.replaced.size(), change.replacement);
        const auto parsed = settings::parse_service(broken, "a.service.json");
        REQUIRE(parsed.errors.size() == 1);
        check_fault(parsed.errors.front(), change);
    }

    static void check_fault(const settings::field_error& fault, const fault_case& change) {
        CHECK(fault.field == change.field);
        CHECK(fault.code == change.code);
        const bool is_placed = fault.source == "a.service.json" && fault.line > 0;
        CHECK(is_placed);
        CHECK_FALSE(fault.accepted.empty());
    }
};

} // namespace

TEST_CASE_FIXTURE(service_fixture, "parse_service, canonical text, reads back the same") {
    for (const std::string& sound : {text, plain_text}) {
        const auto parsed = settings::parse_service(sound, "a");
        REQUIRE(parsed.is_valid());
        CHECK(settings::render_service(parsed.value) == sound);
    }
}

TEST_CASE_FIXTURE(service_fixture, "parse_service, one broken field, one fault that names it") {
    const std::vector<fault_case> cases = {
        {R"("name":)", R"("nome": 1, "name":)", "nome", errc::unknown_field},
        {R"("team": "team",)", "", "team", errc::missing_field},
        {R"("name": "pattern")", R"("name": 7)", "name", errc::wrong_type},
        {R"("name": "pattern")", R"("name": "a/b")", "name", errc::out_of_range},
        {R"("name": "pattern")", R"("name": "pattern", "name": "b")", "name", errc::duplicate},
        {R"("kind": "model")", R"("kind": "modal")", "kind", errc::out_of_range},
        {R"("model": "model")", R"("model": "")", "model", errc::missing_field},
        {R"("first_token_ms": 1000,)", R"("first_token_ms": "1",)", "urgent.first_token_ms",
         errc::wrong_type},
        {R"("first_token_ms": 1000,)", R"("first_token_ms": 1.5,)", "urgent.first_token_ms",
         errc::wrong_type},
        {R"("first_token_ms": 1000,)", R"("first_token_ms": -1,)", "urgent.first_token_ms",
         errc::out_of_range},
        {R"("first_token_ms": 1000,)", R"("first_token_ms": 99999999999999999999,)",
         "urgent.first_token_ms", errc::out_of_range},
        {R"("first_token_ms": 1000,)", R"("first_token_ms": 20000,)", "urgent.first_token_ms",
         errc::contradictory},
        {R"("first_token_ms": 1000,)", "", "urgent.first_token_ms", errc::missing_field},
        {R"("floor": 0.0)", R"("floor": 1.5)", "deferrable.floor", errc::out_of_range},
        {R"("deadline_ms": 0)", R"("deadline_ms": 5)", "deferrable.deadline_ms",
         errc::contradictory},
        {R"("rank_header": "")", R"("rank_header": "X-Rank")", "rank_header", errc::contradictory},
        {R"("urgent_callers": [])", R"("urgent_callers": ["0123456789abcdef"])", "urgent_callers",
         errc::contradictory},
        {R"("urgent_callers": [])", R"("urgent_callers": ["short"])", "urgent_callers[0]",
         errc::out_of_range},
        {R"("paths": [])", R"("paths": ["/x"])", "at_most_once.paths", errc::contradictory},
        {R"("kept_s": 86400)", R"("kept_s": 1)", "at_most_once.kept_s", errc::out_of_range},
        {R"("checks_fencing": true)", R"("checks_fencing": 1)", "checks_fencing", errc::wrong_type},
        {"127.0.0.1:8201", "localhost:8201", "backends[0].address", errc::out_of_range},
        {"127.0.0.1:8201", "127.0.0.1:0", "backends[0].address", errc::out_of_range},
        {"127.0.0.1:8202", "127.0.0.1:8201", "backends[1].address", errc::duplicate},
        {"pattern-decode", "pattern-prefill", "backends[1].id", errc::duplicate},
        {R"("role": "decode")", R"("role": "prefill")", "backends", errc::contradictory},
    };
    for (const fault_case& change : cases) {
        check(text, change);
    }
    check(plain_text, {R"("model": "")", R"("model": "m")", "model", errc::contradictory});
    check(plain_text, {R"("deadline_ms": 1000,)", R"("deadline_ms": 0,)", "urgent.deadline_ms",
                       errc::out_of_range});
    check(plain_text, {R"("POST")", R"("POST", "POST")", "at_most_once.methods", errc::duplicate});
}

TEST_CASE_FIXTURE(service_fixture, "parse_service, several broken fields, one fault each") {
    text.replace(text.find(R"("team": "team")"), 14, R"("team": 5, "x": 1)");
    text.replace(text.find("127.0.0.1:8201"), 14, "nowhere");
    CHECK(settings::parse_service(text, "a").errors.size() == 3);
}

TEST_CASE("parse_service, fault on the third line, its line is three, after those of the second") {
    const auto parsed = settings::parse_service("// note\n{\n  \"name\": 4\n}", "a");
    REQUIRE_FALSE(parsed.is_valid());
    CHECK(settings::to_string(parsed.errors.front()).starts_with("a:2: "));
    CHECK(settings::to_string(parsed.errors.back()).starts_with("a:3: name: wrong type"));
}

TEST_CASE("parse_service, text that is no JSON, faults with a code and no crash") {
    const std::vector<std::pair<std::string, errc>> cases = {
        {"", errc::syntax},
        {"[]", errc::wrong_type},
        {"{", errc::syntax},
        {"{} {}", errc::syntax},
        {R"({"name": "a",})", errc::syntax},
        {R"({"name": NaN})", errc::syntax},
        {"{\"name\": \"\xff\xfe\"}", errc::broken_encoding},
        {std::string(100, '['), errc::syntax},
        {std::string(300'000, ' '), errc::too_large},
    };
    for (const auto& [text, code] : cases) {
        const std::string beginning = text.substr(0, 40);
        CAPTURE(beginning);
        const auto parsed = settings::parse_service(text, "a");
        REQUIRE_FALSE(parsed.is_valid());
        CHECK(parsed.errors.front().code == code);
    }
}

TEST_CASE("parse_service, lone surrogate in an escape, out of range") {
    service_fixture sound;
    service_fixture::check(sound.text, {R"("urgent_callers": [])",
                                        R"("urgent_callers": ["0123456789abcdef\udc00"])",
                                        "urgent_callers[0]", errc::out_of_range});
}

TEST_CASE("parse_service, empty object, a fault for each required field says what is accepted") {
    const auto parsed = settings::parse_service("{}", "a");
    CHECK(parsed.errors.size() == 6);
    for (const settings::field_error& fault : parsed.errors) {
        CAPTURE(fault.field);
        CHECK(fault.code == errc::missing_field);
        CHECK_FALSE(fault.accepted.empty());
    }
}
