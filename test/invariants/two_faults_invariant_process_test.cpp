#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <array>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

constexpr std::uint32_t answer_tokens = 60;
constexpr int caller_count = 4;

/// Three daemons of one failure domain before a prefill and a decode engine.
struct two_faults_fixture {
    cluster running;
    const std::array<std::string, 3> names = {"entry-1", "entry-2", "entry-3"};

    two_faults_fixture() {
        running.start_backend("summary", "p1", backend_role::prefill, "north");
        running.start_backend("summary", "d1", backend_role::decode, "north");
        running.publish(model_service("summary"));
        for (const std::string& name : names) {
            running.start_daemon(name, "north");
        }
        REQUIRE(running.wait_until_ready());
    }

    void set_platform(const std::string& mode) {
        set_platform_mode(running.platform().place(), mode);
    }

    streamed_answer ask(const std::string& daemon, const std::string& prompt) {
        return stream_completion(running.callers(daemon), "summary", prompt, answer_tokens);
    }

    void check_answers(const std::string& daemon, const std::string& prompt) {
        const streamed_answer answer = ask(daemon, prompt);
        INFO(daemon, ": ", answer.problem);
        CHECK(answer.text == expected_text(prompt, answer_tokens));
    }

    json status_of(const std::string& daemon) {
        return json::parse(fetch(running.admin(daemon), "/admin/v1/status"), nullptr, false);
    }

    bool is_ready(const std::string& daemon) { return status_of(daemon)["ready"] == true; }

    /// Ends a daemon as an operator does, with streams open through it.
    void shut_down_with_streams(const std::string& daemon) {
        std::vector<std::future<streamed_answer>> streams;
        for (int index = 0; index < caller_count; ++index) {
            const std::string prompt = daemon + " open " + std::to_string(index);
            streams.push_back(std::async(std::launch::async,
                                         [this, daemon, prompt] { return ask(daemon, prompt); }));
        }
        REQUIRE(eventually([&] { return status_of(daemon)["tickets"] == caller_count; }));
        running.daemon(daemon).send_signal(SIGTERM);
        for (int index = 0; index < caller_count; ++index) {
            const streamed_answer answer = streams[static_cast<std::size_t>(index)].get();
            INFO(answer.problem);
            const std::string prompt = daemon + " open " + std::to_string(index);
            CHECK(answer.text == expected_text(prompt, answer_tokens));
        }
        CHECK(running.daemon(daemon).wait() == 0);
    }
};

/// Callers that go on asking through one daemon.
class steady_callers {
public:
    steady_callers(two_faults_fixture& asked, std::string daemon)
        : asked_(asked), daemon_(std::move(daemon)) {
        for (int caller = 0; caller < caller_count; ++caller) {
            threads_.emplace_back([this, caller] { run(caller); });
        }
    }

    void finish() {
        is_over_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
    }

    [[nodiscard]] int answered() const { return answered_; }
    [[nodiscard]] int wrong() const { return wrong_; }

private:
    void run(int caller) {
        for (int turn = 0; !is_over_; ++turn) {
            const std::string prompt =
                "caller " + std::to_string(caller) + " turn " + std::to_string(turn);
            const streamed_answer answer = asked_.ask(daemon_, prompt);
            const bool is_whole = answer.text == expected_text(prompt, answer_tokens);
            const bool is_refused = text_field(answer.problem, "execution") == "not_run";
            answered_ += is_whole ? 1 : 0;
            wrong_ += is_whole || is_refused ? 0 : 1;
        }
    }

    two_faults_fixture& asked_;
    std::string daemon_;
    std::atomic<bool> is_over_{false};
    std::atomic<int> answered_{0};
    std::atomic<int> wrong_{0};
    std::vector<std::thread> threads_;
};

} // namespace

TEST_CASE_FIXTURE(two_faults_fixture, "rolling restart, platform fails in its middle, all served") {
    const json revision = status_of("entry-3")["revision"];
    steady_callers callers{*this, "entry-3"};
    shut_down_with_streams("entry-1");
    set_platform("unavailable");
    running.restart_daemon("entry-1");
    CHECK(eventually([&] { return is_ready("entry-1"); }));
    check_answers("entry-1", "after its restart");
    shut_down_with_streams("entry-2");
    running.restart_daemon("entry-2");
    CHECK(eventually([&] { return is_ready("entry-2"); }));
    check_answers("entry-2", "after its restart");
    callers.finish();
    CHECK(callers.answered() > 0);
    CHECK(callers.wrong() == 0);
    for (const std::string& name : names) {
        CHECK(status_of(name)["revision"] == revision);
    }
}

TEST_CASE_FIXTURE(two_faults_fixture, "all daemons restarted in an outage, not ready, not empty") {
    const json revision = status_of("entry-1")["revision"];
    set_platform("unavailable");
    for (const std::string& name : names) {
        running.daemon(name).kill();
    }
    for (const std::string& name : names) {
        running.restart_daemon(name);
    }
    for (const std::string& name : names) {
        CHECK_FALSE(is_ready(name));
        const streamed_answer refused = ask(name, "too early");
        INFO(refused.problem);
        CHECK(text_field(refused.problem, "code") == "not_ready");
        CHECK(text_field(refused.problem, "execution") == "not_run");
    }
    CHECK(runs_at(running.backend("p1").place()).empty());
    set_platform("none");
    REQUIRE(running.wait_until_ready());
    for (const std::string& name : names) {
        CHECK(status_of(name)["revision"] == revision);
        check_answers(name, "after the outage at " + name);
    }
}
