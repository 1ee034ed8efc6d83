#include "src/engines/decode_stream.hpp"

#include "cicadahatch/http"
#include "src/engines/error.hpp"
#include "src/engines/internal/event_size_bound.hpp"

#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>

namespace {

using namespace cicadahatch;

constexpr std::chrono::milliseconds timeout{5000};

/// Hands out permits, one for each piece that the engine may send.
class gate {
public:
    void permit() {
        {
            const std::lock_guard lock{mutex_};
            ++permits_;
        }
        changed_.notify_all();
    }

    bool pass() {
        std::unique_lock lock{mutex_};
        if (!changed_.wait_for(lock, timeout, [this] { return permits_ > 0; })) {
            return false;
        }
        --permits_;
        return true;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    int permits_ = 0;
};

/// An engine that sends given pieces of a stream, each once it is permitted.
struct stream_fixture {
    std::vector<std::string> pieces;
    gate next;
    bool has_waited_too_long = false;
    std::unique_ptr<http::server> engine =
        http::server_builder{}
            .listen_on({"127.0.0.1", 0})
            .threads(1)
            .handle_with([this](http::exchange& call) { send(call); })
            .build()
            .value();

    void send(http::exchange& call) {
        call.begin_stream(http::status_ok, {{"Content-Type", "text/event-stream"}});
        for (const std::string& piece : pieces) {
            has_waited_too_long = has_waited_too_long || !next.pass();
            call.write(piece);
        }
    }

    engines::decode_stream open() {
        return engines::decode_stream::open(engine->place(), {}, timeout).value();
    }
};

std::string frame_of(std::uint64_t position, const std::string& text,
                     const std::string& line_end = "\n") {
    return "data: {\"attempt\":1,\"position\":" + std::to_string(position) + ",\"text\":\"" + text +
           "\"}" + line_end + line_end;
}

} // namespace

TEST_CASE_FIXTURE(stream_fixture, "token stream, each event held back until the last was read, is "
                                  "delivered at once") {
    pieces = {frame_of(0, ""),
              frame_of(1, "}"),
              frame_of(123456789, "a longer piece of text"),
              "id: 3\n" + frame_of(3, "with an id"),
              "event: token\n" + frame_of(4, "}}}"),
              frame_of(5, "carriage returns", "\r\n"),
              frame_of(6, "\\n\\n"),
              "data: [DONE]\n\n"};
    auto stream = open();
    for (std::size_t count = 0; count + 1 < pieces.size(); ++count) {
        next.permit();
        const auto received = stream.next();
        REQUIRE(received);
        CHECK(!received->is_end);
    }
    next.permit();
    const auto last = stream.next();
    REQUIRE(last);
    CHECK(last->is_end);
    engine.reset();
    CHECK(!has_waited_too_long);
}

TEST_CASE_FIXTURE(stream_fixture, "token stream, cut into single bytes, is the same") {
    const std::string whole =
        ": hello\n\n" + frame_of(0, "one") + "id: 1\n" + frame_of(1, "two") + "data: [DONE]\n\n";
    for (const char byte : whole) {
        pieces.emplace_back(1, byte);
        next.permit();
    }
    auto stream = open();
    CHECK(stream.next().value().text == "one");
    CHECK(stream.next().value().text == "two");
    CHECK(stream.next().value().is_end);
}

TEST_CASE_FIXTURE(stream_fixture, "token stream, several events in one piece, are told apart") {
    pieces = {frame_of(0, "one") + frame_of(1, "two") + ":\n\n" + frame_of(2, "three") +
              "data: [DONE]\n"};
    next.permit();
    auto stream = open();
    for (const char* text : {"one", "two", "three"}) {
        CHECK(stream.next().value().text == text);
    }
    CHECK(stream.next().value().is_end);
}

TEST_CASE_FIXTURE(stream_fixture, "token stream, cut in a frame, is broken") {
    pieces = {frame_of(0, "one") + R"(data: {"attempt":1,"position":1,"text":"tw)"};
    next.permit();
    auto stream = open();
    CHECK(stream.next().value().text == "one");
    CHECK(stream.next().error() == engines::errc::stream_broken);
}

TEST_CASE("event bound, any beginning of an event, is at least one and not more than its rest") {
    const std::vector<std::string> events = {
        frame_of(0, ""), frame_of(77, "}\\\"}"), "id: 7\n" + frame_of(7, "x"), "data: [DONE]\n\n",
        "event: error\ndata: {\"attempt\":1,\"position\":0,\"text\":\"\",\"more\":[{}]}\n\n"};
    for (const std::string& event : events) {
        for (std::size_t length = 0; length < event.size(); ++length) {
            INFO(event << " " << length);
            const std::size_t bound =
                engines::internal::min_remaining_bytes(std::string_view{event}.substr(0, length));
            CHECK(bound >= 1);
            CHECK(bound <= event.size() - length);
        }
    }
}
