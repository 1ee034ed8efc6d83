#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <algorithm>
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

constexpr std::uint32_t long_answer = 400;
/// Streams of this many tokens last twice as long as the wait for their memory's release.
constexpr std::uint32_t outlasting_answer = 800;
constexpr std::chrono::seconds release_bound{8};

/// Three daemons of one failure domain and one of another.
struct daemons_fixture {
    cluster running;
    const std::array<std::string, 3> names = {"entry-1", "entry-2", "entry-3"};

    daemons_fixture() {
        running.start_backend("summary", "p1", backend_role::prefill, "north");
        running.start_backend("summary", "d1", backend_role::decode, "north");
        running.start_backend("summary", "d2", backend_role::decode, "north");
        running.start_backend("booking", "s1", backend_role::plain, "north",
                              {"--plain-delay-ms", "200"});
        running.publish(model_service("summary"));
        running.publish(plain_service("booking"));
        for (const std::string& name : names) {
            running.start_daemon(name, "north");
        }
        running.start_daemon("far-1", "south");
        REQUIRE(running.wait_until_ready());
        REQUIRE(eventually([&] { return members("entry-1") == 3 && members("entry-3") == 3; }));
    }

    std::size_t members(const std::string& daemon) {
        const json content = json::parse(fetch(running.admin(daemon), "/admin/v1/members"));
        return content["members"].size();
    }

    std::string home() {
        for (const std::string& name : names) {
            const json content = json::parse(fetch(running.admin(name), "/admin/v1/cells"));
            if (!content["cells"].empty()) {
                return name;
            }
        }
        return {};
    }

    std::size_t tickets_at(const std::string& daemon) {
        const json content = json::parse(fetch(running.admin(daemon), "/admin/v1/status"));
        return content["tickets"].get<std::size_t>();
    }

    /// Begins streams through a daemon and waits until all of them hold engine memory.
    std::vector<std::future<streamed_answer>> begin_streams(const std::string& daemon,
                                                            std::size_t count,
                                                            std::uint32_t tokens = long_answer) {
        const http::endpoint place = running.callers(daemon);
        std::vector<std::future<streamed_answer>> streams;
        for (std::size_t index = 0; index < count; ++index) {
            const std::string prompt = "long notes " + std::to_string(index);
            streams.push_back(std::async(std::launch::async, [place, prompt, tokens] {
                return stream_completion(place, "summary", prompt, tokens);
            }));
        }
        REQUIRE(eventually([&] { return tickets_at(daemon) == count; }));
        REQUIRE(eventually([&] { return running.holdings() >= count; }));
        return streams;
    }

    void check_freed_while_frozen(const std::string& frozen) {
        auto streams = begin_streams(frozen, 6, outlasting_answer);
        running.daemon(frozen).send_signal(SIGSTOP);
        CHECK(eventually([&] { return running.holdings() == 0; }, release_bound));
        running.daemon(frozen).send_signal(SIGCONT);
        for (std::size_t index = 0; index < streams.size(); ++index) {
            const streamed_answer answer = streams[index].get();
            INFO(answer.problem);
            const std::string whole =
                expected_text("long notes " + std::to_string(index), outlasting_answer);
            CHECK(whole.rfind(answer.text, 0) == 0);
            CHECK((answer.text == whole || !answer.is_whole));
        }
        CHECK(eventually([&] { return running.holdings() == 0; }));
    }
};

} // namespace

TEST_CASE_FIXTURE(daemons_fixture, "daemon frozen with streams, not the home, memory is freed") {
    REQUIRE(eventually([&] { return !home().empty(); }));
    const std::string frozen = home() == names[0] ? names[1] : names[0];
    check_freed_while_frozen(frozen);
}

TEST_CASE_FIXTURE(daemons_fixture, "daemon frozen with streams and its home, memory is freed") {
    REQUIRE(eventually([&] { return !home().empty(); }));
    check_freed_while_frozen(home());
}

TEST_CASE_FIXTURE(daemons_fixture, "daemon killed with streams and its home, memory is freed") {
    REQUIRE(eventually([&] { return !home().empty(); }));
    const std::string killed = home();
    auto streams = begin_streams(killed, 6);
    running.daemon(killed).kill();
    CHECK(eventually([&] { return running.holdings() == 0; }));
    const std::string other = killed == names[0] ? names[1] : names[0];
    const auto answer = stream_completion(running.callers(other), "summary", "afterwards", 10);
    INFO(answer.problem);
    CHECK(answer.text == expected_text("afterwards", 10));
}

TEST_CASE_FIXTURE(daemons_fixture, "same booking, sent to all daemons at once, runs once") {
    const std::array<std::string, 4> asked = {"entry-1", "entry-2", "entry-3", "far-1"};
    for (int round = 0; round < 5; ++round) {
        const std::string key = "round-" + std::to_string(round);
        std::vector<std::future<result<http::response>>> calls;
        for (const std::string& name : asked) {
            const http::endpoint place = running.callers(name);
            calls.push_back(std::async(std::launch::async, [place, key] {
                return book(place, "/services/booking/orders/1", key, "coring truck");
            }));
        }
        int answered = 0;
        for (auto& call : calls) {
            const auto answer = call.get();
            REQUIRE(answer);
            answered += answer->status == http::status_ok ? 1 : 0;
        }
        CHECK(answered >= 1);
        const std::vector<std::string> runs = running.runs("booking");
        CHECK(std::count(runs.begin(), runs.end(), key) == 1);
    }
}

TEST_CASE_FIXTURE(daemons_fixture, "rolling restart under load, only true refusals") {
    std::atomic<bool> is_over{false};
    std::atomic<int> answered{0};
    std::atomic<int> wrong{0};
    std::vector<std::thread> callers;
    // Callers stay with the daemon that is not restarted before they ask; the balancer does this.
    const http::endpoint kept = running.callers("far-1");
    constexpr int caller_count = 6;
    callers.reserve(caller_count);
    for (int caller = 0; caller < caller_count; ++caller) {
        callers.emplace_back([&, caller] {
            for (int turn = 0; !is_over; ++turn) {
                const std::string prompt =
                    "caller " + std::to_string(caller) + " turn " + std::to_string(turn);
                const auto answer = stream_completion(kept, "summary", prompt, 10);
                const json problem = json::parse(answer.problem, nullptr, false);
                const bool is_refused = problem.is_object() && problem["execution"] == "not_run";
                answered += answer.text == expected_text(prompt, 10) ? 1 : 0;
                wrong += answer.text != expected_text(prompt, 10) && !is_refused ? 1 : 0;
            }
        });
    }
    for (const std::string& name : names) {
        auto streams = begin_streams(name, 3);
        running.daemon(name).send_signal(SIGTERM);
        for (std::size_t index = 0; index < streams.size(); ++index) {
            const streamed_answer answer = streams[index].get();
            INFO(answer.problem);
            CHECK(answer.text == expected_text("long notes " + std::to_string(index), long_answer));
        }
        CHECK(running.daemon(name).wait() == 0);
        running.start_daemon(name, "north");
    }
    is_over = true;
    for (std::thread& caller : callers) {
        caller.join();
    }
    CHECK(answered > 0);
    CHECK(wrong == 0);
}
