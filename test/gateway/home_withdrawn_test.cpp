#include "src/scheduling/cell_home.hpp"
#include "test/support/gateway_fixture.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::eventually;
using test_support::gateway_fixture;
namespace asio = boost::asio;

/// A daemon that is first in line as the home of the engines. It takes connections and never
/// answers.
struct home_withdrawn_fixture : gateway_fixture {
    asio::io_context loop;
    asio::ip::tcp::acceptor silent{loop, {asio::ip::make_address("127.0.0.1"), 0}};
    daemon_id home = find_first_home();

    [[nodiscard]] daemon_id find_first_home() const {
        for (int number = 0;; ++number) {
            daemon_id name{"h" + std::to_string(number)};
            const auto order = scheduling::spread_homes(
                cell_id{"model"}, {{configured.name, configured.domain}, {name, configured.domain}},
                2);
            if (order.front() == name) {
                return name;
            }
        }
    }
    [[nodiscard]] std::string key() const { return "cicadahatch/daemons/" + home.str(); }
    void register_home() {
        const auto port = silent.local_endpoint().port();
        stub.put(key(), "127.0.0.1:" + std::to_string(port) + " " + configured.domain.str());
        REQUIRE(
            eventually([this] { return has_logged(R"("home.reached","home":")" + home.str()); }));
    }
};

} // namespace

TEST_CASE_FIXTURE(home_withdrawn_fixture,
                  "home withdraws its registration, stream that waits for its answer goes to the "
                  "next home") {
    register_home();
    const test_support::raw_caller caller{callers()};
    const auto begun = std::chrono::steady_clock::now();
    caller.send(request("POST", "/stream/x", "Connection: close\r\n" + stream_head(), "prompt"));
    stub.put(key(), "withdrawn");
    const std::string response = caller.receive_all();
    CHECK(std::chrono::steady_clock::now() - begun < 2s);
    CHECK(response.find("id: 3") != std::string::npos);
}
