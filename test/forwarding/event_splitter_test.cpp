#include "src/core/random.hpp"
#include "src/forwarding/event_splitter.hpp"

#include <doctest/doctest.h>

namespace {

using namespace cicadahatch;
using forwarding::event_splitter;

struct splitter_fixture {
    event_splitter splitter;

    static std::string event(std::uint64_t id, const std::string& data) {
        return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
    }
};

} // namespace

TEST_CASE_FIXTURE(splitter_fixture, "take, event in two parts, is handed on once whole") {
    CHECK(splitter.take("id: 1\nda").empty());
    CHECK(splitter.take("ta: x\n\n") == event(1, "x"));
    CHECK(splitter.last_event() == 1);
}

TEST_CASE_FIXTURE(splitter_fixture, "take, carriage returns, end events as well") {
    CHECK(splitter.take("id:2\r\ndata: x\r\n\r\n") == "id:2\r\ndata: x\r\n\r\n");
    CHECK(splitter.last_event() == 2);
}

TEST_CASE_FIXTURE(splitter_fixture, "take, event handed on before, is left out") {
    splitter.skip_through(4);
    CHECK(splitter.take(event(4, "a") + event(5, "b")) == event(5, "b"));
}

TEST_CASE_FIXTURE(splitter_fixture, "restart, event cut in the middle, is forgotten") {
    CHECK(splitter.take(event(1, "a") + "id: 2\nda") == event(1, "a"));
    splitter.restart();
    CHECK(splitter.take(event(2, "b")) == event(2, "b"));
}

TEST_CASE_FIXTURE(splitter_fixture, "take, event without an identifier, is handed on") {
    CHECK(splitter.take(": comment\n\n") == ": comment\n\n");
    CHECK_FALSE(splitter.last_event());
}

TEST_CASE("take, any cuts of a stream, the same bytes come out") {
    random_source random{17};
    for (int round = 0; round < 500; ++round) {
        std::string sent;
        for (std::uint64_t id = 0; id < 8; ++id) {
            sent += splitter_fixture::event(id, std::string(random.below(9), 'x'));
        }
        event_splitter splitter;
        std::string got;
        for (std::size_t at = 0; at < sent.size();) {
            const std::size_t size = 1 + random.below(12);
            got += splitter.take(std::string_view{sent}.substr(at, size));
            at += size;
        }
        REQUIRE(got == sent);
        REQUIRE(splitter.events() == 8);
    }
}
