#include "test/support/gateway_process.hpp"
#include "test/support/large_configuration.hpp"

#include <csignal>
#include <doctest/doctest.h>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
using std::chrono::steady_clock;
using test_support::eventually;
using test_support::large_configuration;
using test_support::max_value_bytes;
using test_support::narrow_link_rate;
using test_support::process;
using test_support::store_mode;
using test_support::version_seen;

/// Time from the end of a disruption after which a daemon is held to all bounds.
constexpr auto stabilization_bound = 4000ms;
/// Time from the store's reply to a new version until daemons go by it.
constexpr auto configuration_bound = 3000ms;
constexpr std::chrono::seconds shutdown_bound = 4s;

/// A daemon that reads the store over a narrow link.
struct catch_up_fixture : test_support::gateway_process_fixture {
    catch_up_fixture() {
        configured.bounds.shutdown = shutdown_bound;
        configured.store.address = http::to_string(stub.severable_store());
        write_settings();
        stub.set_severable_rate(narrow_link_rate);
    }
    void publish(std::uint64_t version, std::size_t bytes) {
        stub.put("op/config", large_configuration(version, bytes));
    }
    void publish_versions(std::uint64_t first, std::uint64_t last) {
        for (std::uint64_t version = first; version <= last; ++version) {
            publish(version, max_value_bytes / 2);
        }
    }
    [[nodiscard]] bool sees_within(std::uint64_t version, std::chrono::milliseconds bound) const {
        const auto begun = steady_clock::now();
        return eventually([&] { return has_logged(version_seen(version)); }) &&
               steady_clock::now() - begun < bound;
    }
};

} // namespace

// Guards against a gap that is too large to be read at once, whatever has made it.
TEST_CASE_FIXTURE(catch_up_fixture, "daemon, versions missed in a disruption, catches up in time") {
    constexpr std::uint64_t last = 7;
    const process daemon = start();
    REQUIRE(eventually([this] { return is_serving(); }));
    SUBCASE("it was suspended") {
        daemon.send_signal(SIGSTOP);
        publish_versions(2, last);
        daemon.send_signal(SIGCONT);
    }
    SUBCASE("the store did not reply") {
        stub.set_store_mode(store_mode::unresponsive);
        REQUIRE(eventually([this] { return has_logged("store.lost"); }));
        publish_versions(2, last);
        stub.set_store_mode(store_mode::normal);
    }
    SUBCASE("the store refused calls") {
        stub.set_store_mode(store_mode::busy);
        REQUIRE(eventually([this] { return has_logged("store.lost"); }));
        publish_versions(2, last);
        stub.set_store_mode(store_mode::normal);
    }
    CHECK(sees_within(last, stabilization_bound));
    CHECK(eventually([this] { return has_logged("registry.caught_up"); }));
}

// Guards against versions that arrive faster than the link carries them.
TEST_CASE_FIXTURE(catch_up_fixture, "daemon, started while large versions follow, is in time") {
    constexpr std::uint64_t last = 15;
    publish(2, max_value_bytes);
    const process daemon = start();
    for (std::uint64_t version = 3; version <= last; ++version) {
        std::this_thread::sleep_for(300ms);
        publish(version, max_value_bytes);
    }
    CHECK(has_logged("\"ready\":true"));
    CHECK(sees_within(last, configuration_bound));
}

// Guards against a long reply that holds up the end of the process.
TEST_CASE_FIXTURE(catch_up_fixture, "SIGTERM, daemon catching up, ends within the bound") {
    process daemon = start();
    REQUIRE(eventually([this] { return is_serving(); }));
    stub.set_severable_rate(narrow_link_rate / 8);
    daemon.send_signal(SIGSTOP);
    publish_versions(2, 4);
    daemon.send_signal(SIGCONT);
    REQUIRE(eventually([this] { return has_logged("registry.behind"); }));
    daemon.send_signal(SIGHUP);
    daemon.send_signal(SIGTERM);
    const auto begun = steady_clock::now();
    CHECK(daemon.wait() == 0);
    CHECK(steady_clock::now() - begun <= shutdown_bound);
}
