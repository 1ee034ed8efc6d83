#include "test/support/gateway_fleet.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using json = nlohmann::json;
using test_support::eventually;
using test_support::gateway_fixture;
using test_support::gateway_fleet;
using test_support::sample_platform_configuration;

/// Of the narrowest link of a VM, 10 Mbit/s.
constexpr std::size_t link_bytes_per_second = 10'000'000 / 8;
/// Time from the end of a disruption after which a gateway is held to all bounds.
constexpr auto stabilization_bound = 4000ms;
/// Largest value that the store takes.
constexpr std::size_t max_value_bytes = 1'048'576;

/// The sample configuration with added routes, /added0/ the first, until it has a size.
std::string large_configuration(std::uint64_t version, std::size_t bytes) {
    constexpr std::size_t prefix_bytes = 4096;
    json made = json::parse(sample_platform_configuration(version));
    json added = made["routes"][0];
    const std::size_t routes = (bytes - made.dump().size()) / (prefix_bytes + added.dump().size());
    for (std::size_t number = 0; number < routes; ++number) {
        const std::string name = "added" + std::to_string(number);
        added["name"] = name;
        added["prefix"] = "/" + name + "/";
        if (number > 0) {
            added["prefix"] =
                "/" + std::string(prefix_bytes, 'p') + added["prefix"].get<std::string>();
        }
        made["routes"].push_back(added);
    }
    return made.dump();
}

std::string version_seen(std::uint64_t version) {
    return R"("configuration.seen","version":)" + std::to_string(version);
}

/// Two gateways; the second one reads the store over a narrow link.
struct narrow_link_fixture : gateway_fleet {
    static constexpr std::size_t narrow = 1; ///< number of the gateway with the narrow link

    narrow_link_fixture() : gateway_fleet(1, make_bounds()) {
        stub.set_severable_rate(link_bytes_per_second);
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
