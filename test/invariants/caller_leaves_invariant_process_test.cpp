#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"
#include "test/support/raw_caller.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

constexpr int long_answer = 1500; ///< tokens; thirty seconds at the stand-in's pace
constexpr int short_answer = 5;

std::string words(int count) {
    std::string text;
    for (int word = 0; word < count; ++word) {
        text += "row" + std::to_string(word) + " ";
    }
    return text;
}

std::string completion_bytes(const std::string& prompt, int max_tokens) {
    const std::string body = json{
        {"model", "pattern"},
        {"prompt", prompt},
        {"max_tokens", max_tokens},
        {"stream", true}}.dump();
    return "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nContent-Type: application/json\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Engines keep a prefill's result for longer than any test waits, so that only an order frees it.
struct caller_leaves_fixture {
    cluster running;

    caller_leaves_fixture() {
        running.start_backend("pattern", "p1", backend_role::prefill, "port-louis-1",
                              {"--kv-retention-ms", "60000", "--prefill-rate", "500"});
        running.start_backend("pattern", "d1", backend_role::decode, "port-louis-1",
                              {"--slots", "1"});
        running.publish(long_output_service());
        running.start_daemon("entry-1", "port-louis-1");
        REQUIRE(running.wait_until_ready());
    }

    static settings::service long_output_service() {
        settings::service made = model_service("pattern");
        made.max_output_tokens = long_answer;
        return made;
    }

    http::endpoint prefill() { return running.backend("p1").place(); }
    http::endpoint decode() { return running.backend("d1").place(); }

    std::size_t count(const std::string& kind) {
        const http::endpoint place = kind == "prefill" ? prefill() : decode();
        const auto runs = runs_at(place);
        return static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(), [&](const backend_run& run) { return run.kind == kind; }));
    }

    int in_cells(const std::string& field) {
        const json content =
            json::parse(fetch(running.admin("entry-1"), "/admin/v1/cells"), nullptr, false);
        return content.is_object() && !content["cells"].empty()
                   ? content["cells"].front()[field].get<int>()
                   : -1;
    }

    bool is_all_freed() {
        return eventually([&] {
            return running.holdings() == 0 && in_cells("granted") == 0 && in_cells("waiting") == 0;
        });
    }
};

} // namespace

TEST_CASE_FIXTURE(caller_leaves_fixture, "caller leaves, while queued, nothing runs for it") {
    raw_caller first{running.callers("entry-1")};
    REQUIRE(first.send(completion_bytes("first", long_answer)));
    REQUIRE(first.receive_until("data: ").find("data: ") != std::string::npos);
    raw_caller second{running.callers("entry-1")};
    REQUIRE(second.send(completion_bytes("second", short_answer)));
    REQUIRE(eventually([&] { return in_cells("waiting") == 1; }));
    second.leave();
    REQUIRE(eventually([&] { return in_cells("waiting") == 0; }));
    first.leave();
    CHECK(is_all_freed());
    CHECK(count("prefill") == 1);
    CHECK(count("decode") == 1);
}

TEST_CASE_FIXTURE(caller_leaves_fixture, "caller leaves, in prefill, memory is freed") {
    raw_caller caller{running.callers("entry-1")};
    REQUIRE(caller.send(completion_bytes(words(400), long_answer)));
    REQUIRE(eventually([&] { return held_at(prefill()) == 1; }));
    caller.leave();
    CHECK(is_all_freed());
    CHECK(count("decode") == 0);
}

TEST_CASE_FIXTURE(caller_leaves_fixture, "caller leaves, in transfer, no decode runs") {
    control_backend(decode(), R"({"transfer_ms":1500})");
    raw_caller caller{running.callers("entry-1")};
    REQUIRE(caller.send(completion_bytes(words(20), long_answer)));
    REQUIRE(eventually([&] { return transfers_at(decode()) == 1; }));
    caller.leave();
    REQUIRE(eventually([&] { return transfers_at(decode()) == 0; }));
    CHECK(is_all_freed());
    CHECK(count("decode") == 0);
}

TEST_CASE_FIXTURE(caller_leaves_fixture, "caller leaves, in decode, memory is freed") {
    raw_caller caller{running.callers("entry-1")};
    REQUIRE(caller.send(completion_bytes(words(20), long_answer)));
    REQUIRE(caller.receive_until("data: ").find("data: ") != std::string::npos);
    REQUIRE(held_at(decode()) == 1);
    caller.leave();
    CHECK(is_all_freed());
}

TEST_CASE_FIXTURE(caller_leaves_fixture, "caller leaves, as the answer ends, nothing stays") {
    for (int round = 0; round < 10; ++round) {
        raw_caller caller{running.callers("entry-1")};
        REQUIRE(caller.send(completion_bytes("round " + std::to_string(round), short_answer)));
        const std::string last = "id: " + std::to_string(short_answer - 1 - round % 2);
        REQUIRE(caller.receive_until(last).find(last) != std::string::npos);
        caller.leave();
        CHECK(is_all_freed());
    }
}

TEST_CASE_FIXTURE(caller_leaves_fixture, "caller leaves, cancels are lost, memory is freed") {
    control_backend(prefill(), R"({"lose_cancels":3})");
    control_backend(decode(), R"({"lose_cancels":3})");
    raw_caller caller{running.callers("entry-1")};
    REQUIRE(caller.send(completion_bytes(words(400), long_answer)));
    REQUIRE(eventually([&] { return held_at(prefill()) == 1; }));
    caller.leave();
    CHECK(is_all_freed());
    CHECK(count("decode") == 0);
}

TEST_CASE_FIXTURE(caller_leaves_fixture, "cancel, overtakes its request, nothing runs") {
    const std::string name = R"({"request_id":"overtaken","attempt":1)";
    post(prefill(), "/v1/cancel", name + "}");
    const std::string answer = post(prefill(), "/v1/prefill", name + R"(,"prompt":"late"})");
    CHECK(text_field(answer, "code") == "cancelled");
    CHECK(text_field(answer, "execution") == "not_run");
    CHECK(held_at(prefill()) == 0);
    CHECK(count("prefill") == 0);
}
