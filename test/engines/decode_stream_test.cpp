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

/// Counting semaphore with a timeout: one permit per chunk that the engine may send.
class chunk_gate {
public:
    void release() {
        {
            const std::lock_guard lock{mutex_};
            ++permits_;
        }
        changed_.notify_all();
    }

    bool acquire() {
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

/// An engine that sends the chunks of a stream, each as soon as it is permitted.
struct stream_fixture {
    std::vector<std::string> chunks;
    chunk_gate gate;
    bool has_timed_out = false;
    std::unique_ptr<http::server> engine =
        http::server_builder{}
            .listen_on({"127.0.0.1", 0})
            .threads(1)
            .handle_with([this](http::exchange& call) { send(call); })
            .build()
            .value();

    void send(http::exchange& call) {
        call.begin_stream(http::status_ok, {{"Content-Type", "text/event-stream"}});
        for (const std::string& chunk : chunks) {
            has_timed_out = has_timed_out || !gate.acquire();
            call.write(chunk);
        }
    }

    engines::decode_stream open() {
        return engines::decode_stream::open(engine->place(), {}, timeout).value();
    }
};

std::string make_frame(std::uint64_t position, const std::string& text,
                       const std::string& line_end = "\n") {
    return "data: {\"attempt\":1,\"position\":" + std::to_string(position) + ",\"text\":\"" + text +
           "\"}" + line_end + line_end;
}

} // namespace

TEST_CASE_FIXTURE(stream_fixture,
                  "token stream, each event sent after the previous one was read, is "
                  "delivered without delay") {
    chunks = {make_frame(0, ""),
              make_frame(1, "}"),
              make_frame(123456789, "a longer piece of text"),
              "id: 3\n" + make_frame(3, "with an id"),
              "event: token\n" + make_frame(4, "}}}"),
              make_frame(5, "carriage returns", "\r\n"),
              make_frame(6, "\\n\\n"),
              "data: [DONE]\n\n"};
    auto stream = open();
    for (std::size_t count = 0; count + 1 < chunks.size(); ++count) {
        gate.release();
        const auto received = stream.next();
        REQUIRE(received);
        CHECK(!received->is_end);
    }
    gate.release();
    const auto last = stream.next();
    REQUIRE(last);
    CHECK(last->is_end);
    engine.reset();
    CHECK(!has_timed_out);
}

TEST_CASE_FIXTURE(stream_fixture, "token stream, sent as single bytes, is parsed correctly") {
    const std::string whole = ": hello\n\n" + make_frame(0, "one") + "id: 1\n" +
                              make_frame(1, "two") + "data: [DONE]\n\n";
    for (const char byte : whole) {
        chunks.emplace_back(1, byte);
        gate.release();
    }
    auto stream = open();
    CHECK(stream.next().value().text == "one");
    CHECK(stream.next().value().text == "two");
    CHECK(stream.next().value().is_end);
}

TEST_CASE_FIXTURE(stream_fixture, "token stream, several events in one chunk, are separated") {
    chunks = {make_frame(0, "one") + make_frame(1, "two") + ":\n\n" + make_frame(2, "three") +
              "data: [DONE]\n"};
    gate.release();
    auto stream = open();
    for (const char* text : {"one", "two", "three"}) {
        CHECK(stream.next().value().text == text);
    }
    CHECK(stream.next().value().is_end);
}

TEST_CASE_FIXTURE(stream_fixture, "token stream, truncated within a frame, reports stream_broken") {
    chunks = {make_frame(0, "one") + R"(data: {"attempt":1,"position":1,"text":"tw)"};
    gate.release();
    auto stream = open();
    CHECK(stream.next().value().text == "one");
    CHECK(stream.next().error() == engines::errc::stream_broken);
}

TEST_CASE("min_remaining_bytes, any partial event, is between one and the missing bytes") {
    const std::vector<std::string> events = {
        make_frame(0, ""), make_frame(77, "}\\\"}"), "id: 7\n" + make_frame(7, "x"),
        "data: [DONE]\n\n",
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
