#include "test/support/gateway_fleet.hpp"
#include "test/support/large_configuration.hpp"

#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::gateway_fleet;
using test_support::large_configuration;
using test_support::max_value_bytes;
using test_support::narrow_link_rate;
using test_support::version_seen;

/// Time from the end of a disruption after which a gateway is held to all bounds.
constexpr auto stabilization_bound = 4000ms;

/// Two gateways; the second one reads the store over a narrow link.
struct narrow_link_fixture : gateway_fleet {
    static constexpr std::size_t narrow = 1; ///< number of the gateway with the narrow link

    narrow_link_fixture() : gateway_fleet(1, make_bounds()) {
        stub.set_severable_rate(narrow_link_rate);
    }
    static settings::installation_bounds make_bounds() {
        settings::installation_bounds bounds;
        bounds.configuration = 3000ms;
        bounds.stabilization = stabilization_bound;
        return bounds;
    }
    /// The store turns the second gateway away and serves the first one and the operator.
    void miss_versions(std::uint64_t first, std::uint64_t last, std::size_t bytes) {
        stub.sever_store(true);
        REQUIRE(eventually([this] { return has_logged(narrow, "store.lost"); }));
        for (std::uint64_t version = first; version <= last; ++version) {
            stub.put("op/config", large_configuration(version, bytes));
        }
        REQUIRE(eventually([&] { return has_logged(0, version_seen(last)); }));
        stub.sever_store(false);
    }
    [[nodiscard]] int status_of_added_route(std::size_t number) const {
        const test_support::raw_caller caller{callers(number)};
        caller.send(gateway_fixture::request("GET", "/added0/x", close_field));
        return gateway_fixture::status_of(caller.receive_all());
    }
};

} // namespace

// Guards against polls that ask again and again for more changes than the link carries in time.
TEST_CASE_FIXTURE(narrow_link_fixture,
                  "gateway, versions missed that a narrow link carries in seconds, catches up") {
    constexpr std::uint64_t last = 7;
    add_severable_gateway();
    miss_versions(2, last, max_value_bytes / 2);
    const auto served_again = std::chrono::steady_clock::now();
    REQUIRE(eventually([&] { return has_logged(narrow, version_seen(last)); }));
    CHECK(std::chrono::steady_clock::now() - served_again < stabilization_bound);
    CHECK(status_of_added_route(0) == 200);
    CHECK(status_of_added_route(narrow) == 200);
}

TEST_CASE_FIXTURE(narrow_link_fixture,
                  "gateway, first listing with the largest value on a narrow link, becomes ready") {
    stub.put("op/config", large_configuration(2, max_value_bytes));
    add_severable_gateway();
    CHECK(status_of_added_route(narrow) == 200);
}
