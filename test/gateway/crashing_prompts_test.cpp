#include "test/support/gateway_fleet.hpp"

#include <algorithm>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::engine_script;
using test_support::gateway_fixture;
using test_support::gateway_fleet;
using test_support::header_value;
using test_support::received_request;
using stop_watch = std::chrono::steady_clock;

/// The users' rule BUDGET: requests with the part that may reach engines once the daemons have had
/// the time to learn, counted from the fifth crash.
constexpr std::size_t max_late_requests = 3;
constexpr std::size_t counted_crashes = 5;
constexpr auto learning_time = 3s;

constexpr const char* deadly_part = "dead";
constexpr const char* sound_part = "50";
constexpr std::size_t daemons = 5;
constexpr std::size_t sound_per_second = 8; ///< of each daemon's callers

/// \returns a stream whose prompt has a shared first part, the given part and one of its own
std::string stream_request(const std::string& part) {
    static std::atomic<int> next{0};
    const std::string own = std::to_string(1'000'000 + ++next);
    return gateway_fixture::request("POST", "/stream/x",
                                    gateway_fleet::close_field +
                                        "X-Cicadahatch-Token-Usage: 100,80\r\n"
                                        "X-Cicadahatch-Prompt-Prefix: aa:20," +
                                        part + ":10," + own + ":70\r\n",
                                    "prompt");
}

struct crashing_prompts_fixture : gateway_fleet {
    crashing_prompts_fixture() : gateway_fleet(daemons) {
        for (int engine = 2; engine <= 6; ++engine) {
            add_engine("x-" + std::to_string(engine), "model", "decode");
        }
        engine_script script;
        script.crash_part = deadly_part;
        for (int engine = 1; engine <= 6; ++engine) {
            stub.set_script("x-" + std::to_string(engine), script);
        }
    }

    void load_sound() {
        load(std::vector<int>(daemons, static_cast<int>(sound_per_second)),
             [] { return stream_request(sound_part); });
    }
    void load_deadly(int per_second) {
        load(std::vector<int>(daemons, per_second), [] { return stream_request(deadly_part); });
    }
    /// \returns when the daemons must have learnt: counted from the fifth crash, or from the last
    /// if there are fewer
    [[nodiscard]] stop_watch::time_point learnt_at() const {
        const auto crashes = stub.crashes();
        REQUIRE_FALSE(crashes.empty());
        return crashes.at(std::min(crashes.size(), counted_crashes) - 1) + learning_time;
    }
    /// \returns the number of callers' requests with a part that have reached engines
    [[nodiscard]] std::size_t count_requests(const std::string& part,
                                             stop_watch::time_point from) const {
        std::vector<std::string> ids;
        for (const received_request& row : stub.seen()) {
            const bool holds_part =
                header_value(row, "X-Cicadahatch-Prompt-Prefix").find("," + part + ":") !=
                std::string::npos;
            if (holds_part && row.at >= from) {
                ids.push_back(header_value(row, "X-Cicadahatch-Attempt-Id"));
            }
        }
        std::sort(ids.begin(), ids.end());
        return static_cast<std::size_t>(std::unique(ids.begin(), ids.end()) - ids.begin());
    }
};

} // namespace

TEST_CASE_FIXTURE(crashing_prompts_fixture,
                  "part of prompts, crashes engines, requests with it stop reaching engines") {
    load_sound();
    std::this_thread::sleep_for(1s);
    load_deadly(1);
    std::this_thread::sleep_for(9s);
    const auto from = learnt_at();
    std::this_thread::sleep_until(from + 3s);
    stop_load();
    CHECK(count_requests(deadly_part, from) <= max_late_requests);
    const std::size_t expected_sound = daemons * sound_per_second * 3;
    CHECK(count_requests(sound_part, from) >= expected_sound / 2);
    CHECK(every_refusal_has("Retry-After: "));
}

TEST_CASE_FIXTURE(crashing_prompts_fixture,
                  "part of prompts, has crashed engines, a new home and a new daemon know it") {
    load_sound();
    load_deadly(1);
    std::this_thread::sleep_for(6s);
    add_gateway();
    kill_home();
    const std::size_t crashes = stub.crashes().size();
    std::this_thread::sleep_for(3s);
    for (int round = 0; round < 3; ++round) {
        send_to_newest(stream_request(deadly_part));
    }
    stop_load();
    CHECK(stub.crashes().size() <= crashes + 1);
}

TEST_CASE_FIXTURE(crashing_prompts_fixture,
                  "engines, crash by chance while streams begin, sound prompts are served on") {
    load_sound();
    std::this_thread::sleep_for(500ms);
    for (int engine = 1; engine <= 4; ++engine) {
        stub.crash("x-" + std::to_string(engine));
    }
    std::this_thread::sleep_for(1s);
    const auto from = stop_watch::now();
    std::this_thread::sleep_for(2s);
    stop_load();
    const std::size_t expected_sound = daemons * sound_per_second * 2;
    CHECK(count_requests(sound_part, from) >= expected_sound / 2);
}
