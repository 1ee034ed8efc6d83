#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

constexpr int words_in_prefix = 60;
/// A word whose prompt's prefix an engine holds.
struct held_prefix {
    std::string word;
    std::string engine;
};

/// Two prefill engines, each of which holds a prompt's prefix that no daemon sent there.
struct prefix_affinity_fixture {
    cluster running;

    prefix_affinity_fixture() {
        running.start_backend("summary", "p1", backend_role::prefill, "north");
        running.start_backend("summary", "p2", backend_role::prefill, "north");
        running.start_backend("summary", "d1", backend_role::decode, "north");
        running.publish(model_service("summary"));
        running.start_daemon("entry-1", "north");
        REQUIRE(running.wait_until_ready());
        prefill_at("p1", prompt("route"));
        prefill_at("p2", prompt("soils"));
        REQUIRE(eventually([&] { return known_prefixes() == 2; }));
    }

    /// Prompts of the same word differ only after the prefix that one hash covers.
    static std::string prompt(const std::string& word, const std::string& tail = "") {
        std::string text;
        for (int count = 0; count < words_in_prefix; ++count) {
            text += word + " ";
        }
        return text + tail;
    }

    /// The cell's view of what its engines hold.
    std::size_t known_prefixes() {
        const json told = json::parse(fetch(running.admin("entry-1"), "/admin/v1/cells"));
        return told["cells"].at(0)["cached_prefixes"];
    }

    void prefill_at(const std::string& engine, const std::string& text) {
        const json asked{{"request_id", "direct-" + engine}, {"attempt", 1}, {"prompt", text}};
        REQUIRE_FALSE(post(running.backend(engine).place(), "/v1/prefill", asked.dump()).empty());
    }

    json last_run(const std::string& engine) {
        const std::string text = fetch(running.backend(engine).place(), "/test/record");
        return json::parse(text)["runs"].back();
    }
};

} // namespace

TEST_CASE_FIXTURE(
    prefix_affinity_fixture,
    "prefix, held by an engine from elsewhere, next request goes there and costs less") {
    const std::vector<held_prefix> prefixes = {{"route", "p1"}, {"soils", "p2"}};
    for (const held_prefix& held : prefixes) {
        const std::string& engine = held.engine;
        CAPTURE(engine);
        const int first_tokens = last_run(engine)["tokens"];
        const auto answer = stream_completion(running.callers("entry-1"), "summary",
                                              prompt(held.word, "and the rest"), 5);
        CHECK(answer.is_whole);
        const json run = last_run(engine);
        CHECK(run["request_id"] != "direct-" + engine);
        CHECK(run["tokens"].get<int>() < first_tokens / 2);
    }
}
