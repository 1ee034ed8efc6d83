#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

struct whole_path_fixture {
    cluster running;

    whole_path_fixture() {
        running.start_backend("pattern", "p1", backend_role::prefill, "port-louis-1");
        running.start_backend("pattern", "d1", backend_role::decode, "port-louis-1");
        running.start_backend("pattern", "d2", backend_role::decode, "port-louis-1");
        running.start_backend("portal", "s1", backend_role::plain, "port-louis-1");
        running.start_backend("portal", "s2", backend_role::plain, "port-louis-1");
        running.publish(model_service("pattern"));
        running.publish(plain_service("portal"));
        running.start_daemon("entry-1", "port-louis-1");
        REQUIRE(running.wait_until_ready());
    }

    http::endpoint daemon() { return running.callers("entry-1"); }
};

} // namespace

TEST_CASE_FIXTURE(whole_path_fixture, "whole path, streamed and whole answers, text is right") {
    const auto streamed = stream_completion(daemon(), "pattern", "a lace edge in four rows", 20);
    INFO(streamed.problem);
    CHECK(streamed.status == http::status_ok);
    CHECK(streamed.is_whole);
    CHECK(streamed.text == expected_text("a lace edge in four rows", 20));
    REQUIRE(streamed.positions.size() == 20);
    CHECK(std::is_sorted(streamed.positions.begin(), streamed.positions.end()));

    const auto whole = complete(daemon(), "pattern", "another pattern", 5);
    REQUIRE(whole);
    CHECK(whole->status == http::status_ok);
    const json content = json::parse(whole->body);
    CHECK(content["choices"][0]["text"] == expected_text("another pattern", 5));

    CHECK(eventually([&] { return running.holdings() == 0; }));
}

TEST_CASE_FIXTURE(whole_path_fixture, "whole path, booking repeated, runs once, outcome replayed") {
    const auto first = book(daemon(), "/services/portal/orders/7", "key-1", "steel rule die");
    REQUIRE(first);
    CHECK(first->status == http::status_ok);
    CHECK(json::parse(first->body)["echo"] == "steel rule die");
    const auto second = book(daemon(), "/services/portal/orders/7", "key-1", "steel rule die");
    REQUIRE(second);
    CHECK(second->status == http::status_ok);
    CHECK(second->body == first->body);
    CHECK(running.runs("portal").size() == 1);

    const auto other = book(daemon(), "/services/portal/orders/7", "key-1", "something else");
    REQUIRE(other);
    CHECK(json::parse(other->body)["code"] == "key_reused");
    const auto without = book(daemon(), "/services/portal/orders/7", "", "x");
    REQUIRE(without);
    CHECK(json::parse(without->body)["code"] == "key_required");
    CHECK(running.runs("portal").size() == 1);
}

TEST_CASE_FIXTURE(whole_path_fixture, "whole path, stock lookup, reaches a plain server") {
    const std::string body = fetch(daemon(), "/services/portal/stock/steel");
    CHECK(json::parse(body)["path"] == "/stock/steel");
}
