#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

constexpr std::uint32_t answer_tokens = 10;
constexpr int requests_per_side = 5;
/// The target for a configuration to be in force everywhere.
constexpr std::chrono::seconds in_force_bound{9};
constexpr const char* path = "/services/booking/orders/1";
constexpr const char* body = "coring truck";

/// A daemon in each of two failure domains, each with its own engines and booking server. The
/// north can be cut off from the south and from the platform.
struct domain_cut_fixture {
    cluster running;
    std::map<std::string, std::uint64_t> last_revision;

    domain_cut_fixture() {
        for (const std::string domain : {"north", "south"}) {
            running.start_backend("summary", domain + "-p", backend_role::prefill, domain);
            running.start_backend("summary", domain + "-d", backend_role::decode, domain);
            running.start_backend("booking", domain + "-s", backend_role::plain, domain);
        }
        running.publish(model_service("summary"));
        running.publish(plain_service("booking"));
        running.start_relayed_daemon("north-1", "north");
        running.start_relayed_daemon("south-1", "south");
        REQUIRE(running.wait_until_ready());
    }

    void cut(bool is_cut) {
        running.cut_peers("north-1", is_cut);
        running.cut_peers("south-1", is_cut);
        running.cut_platform("north-1", is_cut);
    }

    /// \returns the revision in force at a daemon, after a check that it has not gone back
    std::uint64_t revision_at(const std::string& daemon) {
        const json status =
            json::parse(fetch(running.admin(daemon), "/admin/v1/status"), nullptr, false);
        const std::uint64_t seen = status.value("revision", std::uint64_t{0});
        CHECK(seen >= last_revision[daemon]);
        last_revision[daemon] = seen;
        return seen;
    }

    std::size_t decodes_at(const std::string& domain) {
        const auto runs = runs_at(running.backend(domain + "-d").place());
        return static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [](const backend_run& run) { return run.kind == "decode"; }));
    }

    /// Sees that a side answers model requests with its own engines.
    void check_side_serves(const std::string& domain) {
        const std::size_t before = decodes_at(domain);
        for (int request = 0; request < requests_per_side; ++request) {
            const std::string prompt =
                domain + " notes " + std::to_string(before) + "/" + std::to_string(request);
            const auto answer =
                stream_completion(running.callers(domain + "-1"), "summary", prompt, answer_tokens);
            INFO(answer.problem);
            CHECK(answer.text == expected_text(prompt, answer_tokens));
        }
        CHECK(decodes_at(domain) - before == requests_per_side);
    }

    http::response book_at(const std::string& daemon, const std::string& key) {
        const auto answer = book(running.callers(daemon), path, key, body);
        REQUIRE(answer);
        return *answer;
    }

    std::ptrdiff_t runs_of(const std::string& key) {
        const std::vector<std::string> keys = running.runs("booking");
        return std::count(keys.begin(), keys.end(), key);
    }

    void check_refused_in_the_north(const std::string& key) {
        const http::response refused = book_at("north-1", key);
        INFO(refused.body);
        CHECK(text_field(refused.body, "execution") == "not_run");
    }
};

} // namespace

TEST_CASE_FIXTURE(domain_cut_fixture, "domains cut off, each serves and no booking runs twice") {
    const std::uint64_t first_revision = revision_at("north-1");
    cut(true);
    check_refused_in_the_north("asked-in-both");
    check_refused_in_the_north("asked-in-the-north");
    CHECK(book_at("south-1", "asked-in-both").status == http::status_ok);
    check_refused_in_the_north("asked-in-both");
    CHECK(runs_of("asked-in-both") == 1);
    CHECK(runs_of("asked-in-the-north") == 0);
    check_side_serves("north");
    check_side_serves("south");

    settings::service changed = plain_service("booking");
    changed.deferrable.deadline += std::chrono::seconds{1};
    running.publish(changed);
    CHECK(eventually([&] { return revision_at("south-1") > first_revision; }, in_force_bound));
    CHECK(revision_at("north-1") == first_revision);
    check_side_serves("north");

    cut(false);
    const std::uint64_t newer_revision = revision_at("south-1");
    CHECK(eventually([&] { return revision_at("north-1") == newer_revision; }, in_force_bound));
    CHECK(eventually([&] { return book_at("north-1", "asked-in-both").status == 200; }));
    CHECK(eventually([&] { return book_at("north-1", "asked-in-the-north").status == 200; }));
    CHECK(book_at("south-1", "asked-in-the-north").status == http::status_ok);
    CHECK(runs_of("asked-in-both") == 1);
    CHECK(runs_of("asked-in-the-north") == 1);
    check_side_serves("north");
    check_side_serves("south");
    CHECK(revision_at("north-1") == newer_revision);
    CHECK(revision_at("south-1") == newer_revision);
}
