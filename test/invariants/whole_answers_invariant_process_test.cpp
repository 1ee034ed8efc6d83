#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <doctest/doctest.h>
#include <future>
#include <numeric>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;

constexpr std::uint32_t answer_tokens = 60;
constexpr std::size_t tokens_before_fault = 10;

struct whole_answers_fixture {
    cluster running;

    whole_answers_fixture() {
        running.start_backend("pattern", "p1", backend_role::prefill, "port-louis-1");
        running.start_backend("pattern", "d1", backend_role::decode, "port-louis-1");
        running.start_backend("pattern", "d2", backend_role::decode, "port-louis-1");
        running.publish(model_service("pattern"));
        running.start_daemon("entry-1", "port-louis-1");
        REQUIRE(running.wait_until_ready());
    }

    streamed_answer ask(const std::string& prompt,
                        const std::function<void(std::size_t)>& on_token = {}) {
        return stream_completion(running.callers("entry-1"), "pattern", prompt, answer_tokens, {},
                                 on_token);
    }

    /// The decode engine that holds the one running stream.
    std::string busy_engine() { return held_at(running.backend("d1").place()) > 0 ? "d1" : "d2"; }
};

void check_whole(const streamed_answer& answer, const std::string& prompt) {
    INFO(prompt, ": ", answer.problem);
    CHECK(answer.status == http::status_ok);
    CHECK(answer.is_whole);
    CHECK(answer.text == expected_text(prompt, answer_tokens));
    std::vector<std::uint64_t> expected(answer_tokens);
    std::iota(expected.begin(), expected.end(), 0);
    CHECK(answer.positions == expected);
}

} // namespace

TEST_CASE_FIXTURE(whole_answers_fixture, "answer, decode engine killed, resumed elsewhere") {
    const auto answer = ask("killed", [&](std::size_t received) {
        if (received == tokens_before_fault) {
            running.backend(busy_engine()).kill();
        }
    });
    check_whole(answer, "killed");
    CHECK(eventually([&] { return running.holdings() == 0; }));
}

TEST_CASE_FIXTURE(whole_answers_fixture, "answer, one engine's streams break, whole") {
    set_fault(running.backend("d1").place(), "die_mid_stream");
    for (int round = 0; round < 4; ++round) {
        const std::string prompt = "broken " + std::to_string(round);
        check_whole(ask(prompt), prompt);
    }
    CHECK(eventually([&] { return running.holdings() == 0; }));
}

TEST_CASE_FIXTURE(whole_answers_fixture, "answer, frames repeated or out of order, whole") {
    for (const std::string fault : {"repeat_frames", "reorder_frames"}) {
        set_fault(running.backend("d1").place(), fault);
        set_fault(running.backend("d2").place(), fault);
        check_whole(ask(fault), fault);
    }
}

TEST_CASE_FIXTURE(whole_answers_fixture,
                  "answers, many at once and an engine killed, each its own") {
    constexpr int callers = 12;
    std::vector<std::future<streamed_answer>> answers;
    for (int caller = 0; caller < callers; ++caller) {
        const std::string prompt = "many " + std::to_string(caller);
        answers.push_back(std::async(std::launch::async, [this, prompt] { return ask(prompt); }));
    }
    REQUIRE(eventually([&] { return held_at(running.backend("d1").place()) > 0; }));
    running.backend("d1").kill();
    for (int caller = 0; caller < callers; ++caller) {
        check_whole(answers[static_cast<std::size_t>(caller)].get(),
                    "many " + std::to_string(caller));
    }
    CHECK(eventually([&] { return running.holdings() == 0; }));
}
