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

TEST_CASE_FIXTURE(splitter_fixture,
                  "append, event received in two parts, is returned once complete") {
    CHECK(splitter.append("id: 1\nda").empty());
    CHECK(splitter.append("ta: x\n\n") == event(1, "x"));
    CHECK(splitter.last_event_id() == 1);
}

TEST_CASE_FIXTURE(splitter_fixture, "append, CRLF line ends, end events as well") {
    CHECK(splitter.append("id:2\r\ndata: x\r\n\r\n") == "id:2\r\ndata: x\r\n\r\n");
    CHECK(splitter.last_event_id() == 2);
}

TEST_CASE_FIXTURE(splitter_fixture, "append, event returned before, is dropped") {
    splitter.skip_through(4);
    CHECK(splitter.append(event(4, "a") + event(5, "b")) == event(5, "b"));
}

TEST_CASE_FIXTURE(splitter_fixture, "discard_partial, incomplete event, is discarded") {
    CHECK(splitter.append(event(1, "a") + "id: 2\nda") == event(1, "a"));
    splitter.discard_partial();
    CHECK(splitter.append(event(2, "b")) == event(2, "b"));
}

TEST_CASE_FIXTURE(splitter_fixture, "append, event without an identifier, is returned") {
    CHECK(splitter.append(": comment\n\n") == ": comment\n\n");
    CHECK_FALSE(splitter.last_event_id());
}

TEST_CASE("append, stream in random chunks, returns the same bytes") {
    random_source random{17};
    for (int round = 0; round < 500; ++round) {
        std::string stream;
        for (std::uint64_t id = 0; id < 8; ++id) {
            stream += splitter_fixture::event(id, std::string(random.below(9), 'x'));
        }
        event_splitter splitter;
        std::string returned;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t size = 1 + random.below(12);
            returned += splitter.append(std::string_view{stream}.substr(at, size));
            at += size;
        }
        REQUIRE(returned == stream);
        REQUIRE(splitter.event_count() == 8);
    }
}
