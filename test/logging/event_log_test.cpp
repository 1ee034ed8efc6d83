#include "src/core/manual_clock.hpp"
#include "src/logging/event_log.hpp"

#include <array>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <vector>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using namespace cicadahatch::logging;

struct log_fixture {
    manual_clock time;
    std::vector<std::string> lines;
    bool is_taking = true;
    log_limits limits{10, 20, 5};
    event_log log{time, "d1", limits, [this](std::string_view line) {
                      if (is_taking) {
                          lines.emplace_back(line);
                      }
                      return is_taking;
                  }};
};

} // namespace

TEST_CASE_FIXTURE(log_fixture, "write, fields of each type, one JSON object a line") {
    log.write(weight::notable, "x.done",
              {{"request", "a\"b\n"}, {"count", 3}, {"taken_ms", duration{1500us}}, {"ok", true}});
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].find('\n') == lines[0].size() - 1);
    const auto line = nlohmann::json::parse(lines[0]);
    CHECK(line["daemon"] == "d1");
    CHECK(line["event"] == "x.done");
    CHECK(line["request"] == "a\"b\n");
    CHECK(line["count"] == 3);
    CHECK(line["taken_ms"] == doctest::Approx(1.5));
    CHECK(line["ok"] == true);
}

TEST_CASE_FIXTURE(log_fixture, "write, bytes that are no text, line stays readable") {
    log.write(weight::notable, "x", {{"name", std::string{"\xff\xfe"}}});
    CHECK(nlohmann::json::accept(lines.at(0)));
}

TEST_CASE_FIXTURE(log_fixture, "write, more than the burst, rest is dropped and counted") {
    for (int index = 0; index < 100; ++index) {
        log.write(weight::notable, "x", {});
    }
    CHECK(lines.size() == 20);
    CHECK(log.dropped() == 80);
    time.advance(1s);
    log.write(weight::notable, "x", {});
    CHECK(nlohmann::json::parse(lines.back())["dropped"] == 80);
}

TEST_CASE_FIXTURE(log_fixture, "write, routine lines flood, room is left for notable ones") {
    for (int index = 0; index < 100; ++index) {
        log.write(weight::routine, "x", {});
    }
    const std::size_t routine = lines.size();
    log.write(weight::notable, "failure", {});
    CHECK(lines.size() == routine + 1);
}

TEST_CASE_FIXTURE(log_fixture, "write, output takes nothing, is counted and goes on") {
    is_taking = false;
    log.write(weight::notable, "x", {});
    CHECK(log.dropped() == 1);
    is_taking = true;
    log.write(weight::notable, "x", {});
    CHECK(lines.size() == 1);
}

TEST_CASE("output_to, pipe that nobody reads, refuses lines instead of blocking") {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    const auto out = output_to(ends[1]);
    const std::string line(1000, 'x');
    std::size_t taken = 0;
    while (taken < 10'000 && out(line)) {
        ++taken;
    }
    CHECK(taken < 10'000);
    close(ends[0]);
    close(ends[1]);
}
