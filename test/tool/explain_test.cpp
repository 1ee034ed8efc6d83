#include "programs/cicadahatch/command.hpp"
#include "programs/cicadahatch/story.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

/// Logs of two daemons whose clocks are a second apart: a stream is refused by a home that has just
/// lost an engine.
struct log_fixture {
    std::istringstream log{
        R"({"t":1000,"daemon":"d1","event":"store.reached","error":""}
{"t":9000,"daemon":"d1","event":"backend.ejected","backend":"x-1","failures":2}
a line of another kind
{"t":9400,"daemon":"d1","event":"registry.source.lost","source":"d3","reason":"silent"}
{"t":9500,"daemon":"d1","event":"home.reached","home":"d2"}
{"t":10000,"daemon":"d1","event":"place.asked","request":"r1","backend":"x-1","tokens":10,"status":503,"error":""}
   10.0200 d1 {"t":10020,"daemon":"d1","event":"placement.answered","request":"r1","home":"d2","answer":1,"reason":"refused by the home: 1"}
{"t":10021,"daemon":"d1","event":"request.end","request":"r1","status":503,"outcome":"failed","reason":"refused by the home: 1","ending":"none"}
{"t":10022,"daemon":"d1","event":"request.end","request":"r2","status":200,"outcome":"answered","reason":"","ending":"none"}
{"t":10020,"daemon":"d2","event":"backend.changed","backend":"x-1","change":"gone"}
{"t":10020,"daemon":"d2","event":"backend.changed","backend":"x-9","change":"gone"}
{"t":12000,"daemon":"d1","event":"home.lost","home":"d2"}
{"t":"late","daemon":"d1","event":"request.end","request":"r1"}
{"cut":
)"};
    std::vector<tool::log_record> records = tool::read_records(log);
};

std::vector<std::string> events_of(const std::vector<tool::log_record>& lines) {
    std::vector<std::string> events;
    events.reserve(lines.size());
    for (const tool::log_record& line : lines) {
        events.push_back(line.event);
    }
    return events;
}

} // namespace

TEST_CASE_FIXTURE(log_fixture, "read_records, other lines and broken ones, are left out") {
    CHECK(records.size() == 11);
    CHECK(records.front().at == 1000ms);
    CHECK(records.front().daemon == "d1");
}

TEST_CASE_FIXTURE(log_fixture, "tell_story, refused stream, its lines with the beliefs around it") {
    const auto story = tool::tell_story(records, "r1", 5s);
    REQUIRE(story);
    CHECK(story->daemon == "d1");
    CHECK(events_of(story->lines) ==
          std::vector<std::string>{"place.asked", "placement.answered", "request.end"});
    CHECK(events_of(story->beliefs) ==
          std::vector<std::string>{"backend.ejected", "registry.source.lost", "home.reached"});
    // Of the other daemon only what concerns an engine that the request met.
    REQUIRE(story->elsewhere.size() == 1);
    CHECK(story->elsewhere.front().fields["backend"] == "x-1");
}

TEST_CASE_FIXTURE(log_fixture,
                  "conclusion_of, refused stream, names the end and the last failure") {
    const auto story = tool::tell_story(records, "r1", 5s);
    REQUIRE(story);
    const std::string conclusion = tool::conclusion_of(*story);
    INFO(conclusion);
    CHECK(conclusion.find("status 503") != std::string::npos);
    CHECK(conclusion.find("placement.answered, home d2") != std::string::npos);
}

TEST_CASE_FIXTURE(log_fixture, "conclusion_of, request without an end, says so") {
    const auto end = std::find_if(records.begin(), records.end(), [](const tool::log_record& row) {
        return row.event == "request.end" && row.fields["request"] == "r1";
    });
    REQUIRE(end != records.end());
    records.erase(end);
    const auto story = tool::tell_story(records, "r1", 5s);
    REQUIRE(story);
    CHECK(tool::conclusion_of(*story).find("no end") != std::string::npos);
}

TEST_CASE("explain, log file with the request or without, story or failure") {
    const auto folder = std::filesystem::temp_directory_path();
    const std::string file = folder / ("explain_test_" + std::to_string(getpid()) + ".log");
    std::ofstream{file}
        << R"({"t":1,"daemon":"d1","event":"request.end","request":"r1","status":504})" << '\n';
    std::ostringstream out;
    std::ostringstream err;
    CHECK(tool::run({"explain", "r1", "--log", file}, out, err) == 0);
    CHECK(out.str().find("It ended with status 504") != std::string::npos);
    CHECK(tool::run({"explain", "r2", "--log", file}, out, err) == 1);
    CHECK(tool::run({"explain", "r1", "--log", file + ".none"}, out, err) == 1);
    CHECK(tool::run({"explain", "r1"}, out, err) == 2);
    std::filesystem::remove(file);
}
