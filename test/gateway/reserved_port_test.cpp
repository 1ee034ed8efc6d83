#include "test/support/reserved_port.hpp"

#include "src/gateway/listener.hpp"

#include <doctest/doctest.h>
#include <set>

namespace {

using namespace cicadahatch;
namespace asio = forwarding::asio;
using forwarding::tcp;

} // namespace

// Guards against a gateway that cannot listen because its port was given out twice.
TEST_CASE("reserved ports, many reserved, none is given out twice") {
    constexpr std::size_t count = 400;
    std::set<std::uint16_t> ports;
    for (std::size_t index = 0; index < count; ++index) {
        ports.insert(test_support::reserve_port());
    }
    CHECK(ports.size() == count);
}

TEST_CASE("reserved ports, other listeners choose their ports, none gets a reserved one") {
    constexpr std::size_t count = 400;
    std::set<std::uint16_t> reserved;
    for (std::size_t index = 0; index < count; ++index) {
        reserved.insert(test_support::reserve_port());
    }
    asio::io_context loop;
    for (std::size_t index = 0; index < count; ++index) {
        const tcp::acceptor other{loop, {asio::ip::make_address("127.0.0.1"), 0}};
        CHECK_FALSE(reserved.contains(other.local_endpoint().port()));
    }
}

TEST_CASE("reserved port, listener opened twice in turn, is available to it") {
    const http::endpoint place{"127.0.0.1", test_support::reserve_port()};
    asio::io_context loop;
    for (int turn = 0; turn < 2; ++turn) {
        gateway::listener opened{loop, [](tcp::socket) {}};
        CHECK(opened.open(place));
        opened.close();
    }
}
