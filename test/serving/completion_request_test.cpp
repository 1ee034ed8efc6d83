#include "src/serving/completion_request.hpp"

#include "src/serving/constants.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using serving::errc;
using serving::parse_completion;

void check_refused(const std::string& body, errc code, const std::string& field = {}) {
    INFO(body);
    const auto parsed = parse_completion(body);
    REQUIRE(!parsed);
    CHECK(parsed.error().code == code);
    CHECK(parsed.error().field == field);
    CHECK(parsed.error().ran == execution::not_run);
}

} // namespace

TEST_CASE("completion, all fields, are read") {
    const auto parsed = parse_completion(
        R"({"model":"pattern","prompt":"lace","max_tokens":7,"stream":true,"other":[1]})");
    REQUIRE(parsed);
    CHECK(parsed->service == service_id{"pattern"});
    CHECK(parsed->prompt == "lace");
    CHECK(parsed->max_tokens == 7);
    CHECK(parsed->is_streamed);
}

TEST_CASE("completion, only the required fields, takes defaults") {
    const auto parsed = parse_completion(R"({"model":"pattern","prompt":"lace"})");
    REQUIRE(parsed);
    CHECK(parsed->max_tokens == 0);
    CHECK(!parsed->is_streamed);
}

TEST_CASE("completion, wrong JSON, is refused as such") {
    for (const char* body : {"", "{", R"({"model":)", "[]", "7", "null", R"({"a":1}x)"}) {
        check_refused(body, errc::bad_json);
    }
}

TEST_CASE("completion, deep nesting left open, is refused as wrong JSON") {
    constexpr std::size_t depth = 200'000;
    const auto parsed = parse_completion(std::string(depth, '['));
    REQUIRE(!parsed);
    CHECK(parsed.error().code == errc::bad_json);
}

TEST_CASE("completion, broken UTF-8, is refused as such") {
    check_refused("{\"model\":\"pattern\",\"prompt\":\"\xc3\x28\"}", errc::bad_utf8);
    check_refused("{\"model\":\"pattern\",\"prompt\":\"\xff\"}", errc::bad_utf8);
}

TEST_CASE("completion, faulty field, is named") {
    check_refused(R"({"prompt":"x"})", errc::bad_field, "model");
    check_refused(R"({"model":"","prompt":"x"})", errc::bad_field, "model");
    check_refused(R"({"model":"a"})", errc::bad_field, "prompt");
    check_refused(R"({"model":"a","prompt":""})", errc::bad_field, "prompt");
    check_refused(R"({"model":"a","prompt":["x"]})", errc::bad_field, "prompt");
    for (const char* bound : {"0", "-1", "1.5", "4294967296", "\"7\"", "null"}) {
        check_refused(R"({"model":"a","prompt":"x","max_tokens":)" + std::string{bound} + "}",
                      errc::bad_field, "max_tokens");
    }
    check_refused(R"({"model":"a","prompt":"x","stream":1})", errc::bad_field, "stream");
}

TEST_CASE("prefix hashes, prompts with a common beginning, agree in its whole blocks") {
    const std::string common(2 * serving::prefix_block_bytes, 'a');
    const auto first = serving::prefix_hashes(common + std::string(300, 'b'));
    const auto second = serving::prefix_hashes(common + std::string(300, 'c'));
    REQUIRE(first.size() == 3);
    REQUIRE(second.size() == 3);
    CHECK(first[0] == second[0]);
    CHECK(first[1] == second[1]);
    CHECK(first[2] != second[2]);
}

TEST_CASE("block of a prefix hash, tokens estimated, are the prompt's in proportion") {
    const std::string prompt(10 * serving::prefix_block_bytes, 'a');
    CHECK(serving::tokens_of_block(prompt, 640) == 64);
    CHECK(serving::tokens_of_block(prompt, 3) == 1);
    CHECK(serving::tokens_of_block("", 0) == 1);
}

TEST_CASE("prefix hashes, long prompt, are bounded") {
    const std::string prompt(100 * serving::prefix_block_bytes, 'a');
    CHECK(serving::prefix_hashes(prompt).size() == serving::max_prefix_hashes);
    CHECK(serving::prefix_hashes("short").empty());
}
