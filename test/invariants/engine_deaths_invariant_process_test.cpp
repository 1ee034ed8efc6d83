#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"

#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using nlohmann::json;

constexpr std::uint32_t answer_tokens = 60;
constexpr std::size_t first_kill = 10; ///< tokens
constexpr std::size_t second_kill = 20;

/// Two daemons of one failure domain before three decode engines.
struct engine_deaths_fixture {
    cluster running;
    const std::array<std::string, 2> names = {"entry-1", "entry-2"};
    const std::array<std::string, 3> decoders = {"d1", "d2", "d3"};

    engine_deaths_fixture() {
        running.start_backend("summary", "p1", backend_role::prefill, "north");
        for (const std::string& name : decoders) {
            running.start_backend("summary", name, backend_role::decode, "north");
        }
        running.publish(model_service("summary"));
        for (const std::string& name : names) {
            running.start_daemon(name, "north");
        }
        REQUIRE(running.wait_until_ready());
        REQUIRE(eventually([&] { return is_home(names[0]) || is_home(names[1]); }));
    }

    bool is_home(const std::string& daemon) {
        const json content =
            json::parse(fetch(running.admin(daemon), "/admin/v1/cells"), nullptr, false);
        return content.is_object() && !content["cells"].empty();
    }

    /// Kills the decode engine that holds the one running stream.
    void kill_busy_engine() {
        for (const std::string& name : decoders) {
            process& engine = running.backend(name);
            if (engine.id() > 0 && held_at(engine.place()) > 0) {
                engine.kill();
            }
        }
    }

    void check_whole_with_two_deaths(const std::string& daemon) {
        const streamed_answer answer =
            stream_completion(running.callers(daemon), "summary", "twice", answer_tokens, {},
                              [&](std::size_t received) {
                                  if (received == first_kill || received == second_kill) {
                                      kill_busy_engine();
                                  }
                              });
        INFO(answer.problem);
        CHECK(answer.is_whole);
        CHECK(answer.text == expected_text("twice", answer_tokens));
        CHECK(eventually([&] { return running.holdings() == 0; }));
    }
};

} // namespace

TEST_CASE_FIXTURE(engine_deaths_fixture, "answer through the home, replacement dies too, whole") {
    check_whole_with_two_deaths(is_home(names[0]) ? names[0] : names[1]);
}

TEST_CASE_FIXTURE(engine_deaths_fixture, "answer through another, replacement dies too, whole") {
    check_whole_with_two_deaths(is_home(names[0]) ? names[1] : names[0]);
}
