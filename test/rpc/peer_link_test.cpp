#include "cicadahatch/rpc"
#include "src/rpc/internal/link_proof.hpp"
#include "test/support/http_calls.hpp"
#include "test/support/raw_caller.hpp"

#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;

constexpr auto patience = 20s;

/// Collects from other threads and lets the test wait for a number of entries.
template <class T>
class collector {
public:
    void add(T entry) {
        const std::lock_guard lock{mutex_};
        entries_.push_back(std::move(entry));
        changed_.notify_all();
    }

    std::vector<T> wait_for(std::size_t count) {
        std::unique_lock lock{mutex_};
        const bool came =
            changed_.wait_for(lock, patience, [&] { return entries_.size() >= count; });
        REQUIRE(came);
        return entries_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<T> entries_;
};

using received_message = std::pair<daemon_id, rpc::message>;
using loss = std::pair<rpc::message, std::error_code>;

struct link_fixture {
    collector<received_message> received;
    collector<loss> lost;
    std::unique_ptr<rpc::peer_server> server = serve({"127.0.0.1", 0});

    std::unique_ptr<rpc::peer_server> serve(const http::endpoint& place) {
        return rpc::peer_server_builder{}
            .listen_on(place)
            .owned_by(daemon_id{"home"})
            .secret("shared")
            .threads(4)
            .handle_with([this](rpc::delivery taken) {
                for (rpc::message& entry : taken.messages) {
                    received.add({taken.sender, std::move(entry)});
                }
            })
            .build()
            .value();
    }

    rpc::peer_link_builder builder() {
        return rpc::peer_link_builder{}
            .from(daemon_id{"entry 1&2"}, incarnation{7})
            .to(daemon_id{"home"}, server->place())
            .secret("shared")
            .timeouts(200ms, 400ms)
            .on_loss([this](std::vector<rpc::message> messages, const std::error_code& reason) {
                for (rpc::message& entry : messages) {
                    lost.add({std::move(entry), reason});
                }
            });
    }

    static rpc::message numbered(std::uint64_t number) {
        return rpc::granted{request_id{"r"}, {}, {}, number, {}, {}, 0, 0, {}, {}};
    }
    static std::uint64_t number_of(const rpc::message& entry) {
        return std::get<rpc::granted>(entry).grant;
    }

    /// A short masked binary frame with a batch of one message.
    static std::string frame_of(std::uint64_t number) {
        const std::string batch = rpc::encode_batch({number, {numbered(number)}});
        std::string frame = "\x82";
        frame += static_cast<char>(0x80U | batch.size());
        return frame + std::string(4, '\0') + batch;
    }
};

} // namespace

TEST_CASE_FIXTURE(link_fixture, "link, many messages, arrive in order on one connection") {
    const auto link = builder().timeouts(20s, 20s).build();
    constexpr std::uint64_t count = 2000;
    for (std::uint64_t number = 0; number < count; ++number) {
        REQUIRE(link->send(numbered(number)));
    }
    const auto all = received.wait_for(count);
    for (std::uint64_t number = 0; number < count; ++number) {
        CHECK(number_of(all[number].second) == number);
        CHECK(all[number].first == daemon_id{"entry 1&2"});
    }
    CHECK(server->carried().connections == 1);
    CHECK(server->carried().batches < count);
    CHECK(server->carried().messages == count);
}

TEST_CASE_FIXTURE(link_fixture, "link, deferrable message, travels with the next prompt one") {
    const auto link = builder().flush_delays(5ms, 1h).build();
    REQUIRE(link->send(numbered(1), rpc::urgency::deferrable));
    REQUIRE(link->send(numbered(2), rpc::urgency::prompt));
    received.wait_for(2);
    CHECK(server->carried().batches == 1);
}

TEST_CASE_FIXTURE(link_fixture, "link, peer restarted at the same place, goes on by itself") {
    const auto link = builder().timeouts(200ms, 10s).build();
    REQUIRE(link->send(numbered(1)));
    received.wait_for(1);
    // A batch that is not acknowledged goes to the restarted peer again, which does not know it.
    REQUIRE(test_support::eventually([&] { return link->pending() == 0; }));
    const http::endpoint place = server->place();
    server.reset();
    REQUIRE(link->send(numbered(2)));
    server = serve(place);
    CHECK(number_of(received.wait_for(2)[1].second) == 2);
}

TEST_CASE_FIXTURE(link_fixture, "link, no listener, loss is reported as surely not taken") {
    const auto unreached = builder();
    server.reset();
    const auto link = unreached.build();
    REQUIRE(link->send(numbered(3)));
    const loss reported = lost.wait_for(1).front();
    CHECK(number_of(reported.first) == 3);
    CHECK(rpc::is_surely_not_taken(reported.second));
}

TEST_CASE_FIXTURE(link_fixture, "link, wrong secret or recipient, is refused and nothing taken") {
    const auto wrong_secret = builder().secret("guessed").build();
    REQUIRE(wrong_secret->send(numbered(1)));
    const auto wrong_name = builder().to(daemon_id{"other"}, server->place()).build();
    REQUIRE(wrong_name->send(numbered(2)));
    lost.wait_for(2);
    CHECK(server->refused_links() >= 2);
    CHECK(server->carried().messages == 0);
}

TEST_CASE_FIXTURE(link_fixture, "link, older incarnation of a restarted sender, is refused") {
    const auto newer = builder().from(daemon_id{"entry"}, incarnation{8}).build();
    REQUIRE(newer->send(numbered(1)));
    received.wait_for(1);
    const auto older = builder().from(daemon_id{"entry"}, incarnation{7}).build();
    REQUIRE(older->send(numbered(2)));
    lost.wait_for(1);
    CHECK(server->carried().messages == 1);
}

TEST_CASE_FIXTURE(link_fixture, "link, full outbox, refuses with its type and keeps the rest") {
    const auto link = builder().flush_delays(1h, 1h).max_outbox(2).build();
    REQUIRE(link->send(numbered(1)));
    REQUIRE(link->send(numbered(2)));
    CHECK(link->send(numbered(3)).error() == rpc::errc::outbox_full);
    CHECK(link->pending() == 2);
}

TEST_CASE_FIXTURE(link_fixture, "link, closed with waiting messages, gives them back") {
    {
        const auto link = builder().flush_delays(1h, 1h).build();
        REQUIRE(link->send(numbered(1)));
    }
    CHECK(lost.wait_for(1).front().second == rpc::errc::link_closed);
}

TEST_CASE_FIXTURE(link_fixture,
                  "listener, caller without proof, is closed before its first frame") {
    test_support::raw_caller caller{server->place()};
    caller.send("GET /link?from=a&start=1&to=home&proof=00 HTTP/1.1\r\nHost: x\r\n"
                "Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    CHECK(caller.receive_all().find("101 Switching") == std::string::npos);
    CHECK(server->refused_links() == 1);
}

TEST_CASE_FIXTURE(link_fixture,
                  "listener, sender that offers no compression, takes plain batches") {
    const rpc::internal::link_ends ends{daemon_id{"old"}, incarnation{1}, daemon_id{"home"}};
    std::string path = rpc::internal::link_path(ends, "shared");
    path.erase(path.find("&codec="));
    const test_support::raw_caller caller{server->place()};
    caller.send("GET " + path +
                " HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
    REQUIRE(caller.receive_until("\r\n\r\n").find("101 Switching") != std::string::npos);
    caller.send(frame_of(41));
    // CivetWeb sends the head of a frame and its payload one after the other.
    const std::string acknowledgement{"\x82\x01\x29"};
    CHECK(caller.receive_until(acknowledgement) == acknowledgement);
    caller.send(frame_of(42));
    CHECK(number_of(received.wait_for(2)[1].second) == 42);
}

TEST_CASE_FIXTURE(link_fixture, "link, same names in each batch, costs less than the names") {
    const auto link = builder().build();
    const std::string name = "3f2a9c1e77b0-prefill-0412-of-the-pattern-model";
    constexpr std::uint64_t count = 20;
    for (std::uint64_t number = 1; number <= count; ++number) {
        rpc::message sent = numbered(number);
        std::get<rpc::granted>(sent).prefill_backend = backend_id{name};
        REQUIRE(link->send(sent));
        CHECK(received.wait_for(number).back().second.index() == sent.index());
    }
    constexpr std::uint64_t upgrade_bytes = 400;
    CHECK(server->carried().batches == count);
    CHECK(server->carried().bytes_received < upgrade_bytes + count * name.size());
}

TEST_CASE_FIXTURE(link_fixture, "links, several peers and idle closing, keep one link for each") {
    rpc::peer_links links{builder()};
    for (std::uint64_t number = 0; number < 10; ++number) {
        REQUIRE(links.send(daemon_id{"home"}, server->place(), numbered(number)));
    }
    received.wait_for(10);
    CHECK(links.size() == 1);
    links.close(daemon_id{"home"});
    CHECK(links.size() == 0);
    CHECK(links.carried().connections == 1);
    REQUIRE(links.send(daemon_id{"home"}, server->place(), numbered(10)));
    received.wait_for(11);
}
