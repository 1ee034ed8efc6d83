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

/// Longer than the gateways take from a change in the store to their last request on the old state.
constexpr auto settle_time = 700ms;

/// Writes of others after a restore, which bring the revision past the places of the gateways.
constexpr int writes_after_restore = 40;

/// Gateways before a store that states its generation and of which a copy is kept.
struct store_restore_fixture : gateway_fleet {
    store_restore_fixture() : gateway_fleet(4, {}, true) {
        add_engine("shop-2", "shop", "");
        stub.copy_store();
        REQUIRE(eventually([this] { return all_have_logged(R"("generation":1)"); }));
    }
    void write_other_keys() {
        for (int number = 0; number < writes_after_restore; ++number) {
            stub.put("op/other", std::to_string(number));
        }
    }
    void restore(int generation) {
        stub.restore_store();
        write_other_keys();
        await_restore(generation);
    }
    void load_plain() {
        load(std::vector<int>(4, 50),
             [] { return gateway_fixture::request("GET", "/plain/x", close_field); });
    }
};

/// Gateways that must not admit a key whose withdrawal they may not have heard of.
struct withdrawn_key_fixture : gateway_fleet {
    static constexpr std::size_t cut_off_gateway = 3;
    static constexpr auto withdrawal_bound = 1000ms;

    withdrawn_key_fixture() : gateway_fleet(3, make_bounds(), true) {
        add_severable_gateway();
        put_keys(2, {"kept", "withdrawn"});
        REQUIRE(
            eventually([this] { return all_have_logged(R"("configuration.seen","version":2)"); }));
        stub.copy_store();
        REQUIRE(eventually([this] { return all_have_logged(R"("generation":1)"); }));
    }
    static settings::installation_bounds make_bounds() {
        settings::installation_bounds bounds;
        bounds.revocation = withdrawal_bound;
        return bounds;
    }
    /// Publishes a version with a team of these keys.
    void put_keys(std::uint64_t version, const std::vector<std::string>& keys) {
        auto configuration = json::parse(sample_platform_configuration(version));
        configuration["tenants"] = {{{"name", "blue"}, {"apiKeys", keys}}};
        stub.put("op/config", configuration.dump());
    }
    [[nodiscard]] int status_with_key(std::size_t gateway, const std::string& key) const {
        const test_support::raw_caller caller{callers(gateway)};
        caller.send(gateway_fixture::request("GET", "/plain/key",
                                             close_field + "Authorization: Token " + key + "\r\n"));
        return gateway_fixture::status_of(caller.receive_all());
    }
};

} // namespace

TEST_CASE_FIXTURE(store_restore_fixture,
                  "store restored, engine seen draining before, gets no request") {
    load_plain();
    stub.set_state("shop-1", "draining");
    REQUIRE(eventually([this] { return all_have_logged(R"("change":"draining")"); }));
    std::this_thread::sleep_for(settle_time);
    const std::size_t before = stub.count("shop-1", "/plain/x");
    restore(2);
    std::this_thread::sleep_for(1s);
    stop_load();
    CHECK(stub.count("shop-1", "/plain/x") == before);
    CHECK(count_status(200) == responses());
}

TEST_CASE_FIXTURE(store_restore_fixture,
                  "store restored, engine registered after the copy and written again, is used") {
    add_engine("shop-3", "shop", "");
    load_plain();
    restore(2);
    stub.set_state("shop-3", "ready");
    std::this_thread::sleep_for(3s);
    const std::size_t before = stub.count("shop-3", "/plain/x");
    std::this_thread::sleep_for(1s);
    stop_load();
    CHECK(stub.count("shop-3", "/plain/x") > before);
    CHECK(count_status(200) == responses());
}

// Guards against changes that are missed because the revision has climbed past the place of the
// watch.
TEST_CASE_FIXTURE(store_restore_fixture,
                  "store restored, engine written again under a revision seen before, is noticed") {
    write_other_keys();
    std::this_thread::sleep_for(settle_time);
    stub.restore_store();
    stub.set_state("shop-1", "draining");
    write_other_keys();
    await_restore(2);
    REQUIRE(eventually([this] { return all_have_logged(R"("change":"draining")"); }));
}

TEST_CASE_FIXTURE(store_restore_fixture,
                  "store restored, configuration older than the known, no gateway goes back") {
    stub.put("op/config", sample_platform_configuration(2));
    REQUIRE(eventually([this] { return all_have_logged(R"("configuration.seen","version":2)"); }));
    restore(2);
    const std::string refused = R"("version":1,"before":2)";
    CHECK(all_have_logged(refused));
    stub.put("op/config", sample_platform_configuration(3));
    CHECK(eventually([this] { return all_have_logged(R"("configuration.seen","version":3)"); }));
}

TEST_CASE_FIXTURE(store_restore_fixture,
                  "store restored twice, gateway started between, all gateways agree") {
    load_plain();
    stub.set_state("shop-2", "draining");
    REQUIRE(eventually([this] { return all_have_logged(R"("change":"draining")"); }));
    restore(2);
    add_gateway();
    restore(3);
    stub.set_state("shop-2", "draining");
    REQUIRE(eventually([this] { return all_have_logged(R"("change":"draining")"); }));
    std::this_thread::sleep_for(settle_time);
    const std::size_t before = stub.count("shop-2", "/plain/x");
    for (int number = 0; number < 20; ++number) {
        send_to_newest(gateway_fixture::request("GET", "/plain/x", close_field));
    }
    std::this_thread::sleep_for(500ms);
    stop_load();
    CHECK(stub.count("shop-2", "/plain/x") == before);
    CHECK(count_status(200) == responses());
    CHECK(eventually([this] { return all_have_logged(R"("daemons":5)"); }));
}

TEST_CASE_FIXTURE(store_restore_fixture, "store restored, streams in progress, end whole") {
    load(std::vector<int>(4, 10), [] {
        return gateway_fixture::request("POST", "/stream/x",
                                        close_field + gateway_fixture::stream_head(), "prompt");
    });
    restore(2);
    std::this_thread::sleep_for(500ms);
    restore(3);
    std::this_thread::sleep_for(1s);
    stop_load();
    CHECK(count_status(200) == responses());
}

// Guards against a gateway that serves a withdrawn configuration since it has read only the copy.
TEST_CASE_FIXTURE(store_restore_fixture,
                  "gateway started after a restore, reads the older copy, hears of the newer "
                  "configuration") {
    stub.put("op/config", sample_platform_configuration(2));
    REQUIRE(eventually([this] { return all_have_logged(R"("configuration.seen","version":2)"); }));
    restore(2);
    add_gateway();
    CHECK(eventually([this] {
        return all_have_logged(R"("event":"configuration.lost","version":2)") &&
               all_have_logged(R"("configuration.seen","version":2)");
    }));
    stub.put("op/config", sample_platform_configuration(2));
    CHECK(eventually([this] { return all_have_logged(R"("configuration.lost","version":0)"); }));
}

// Guards against requests with a withdrawn key: an older copy shows the key, and reading it
// confirms nothing.
TEST_CASE_FIXTURE(withdrawn_key_fixture,
                  "store restored, key withdrawn after the copy, no gateway admits it") {
    stub.sever_store(true);
    put_keys(3, {"kept"});
    std::this_thread::sleep_for(withdrawal_bound);
    stub.restore_store();
    stub.sever_store(false);
    REQUIRE(eventually([this] { return all_have_logged(R"("generation":2)"); }));
    for (std::size_t gateway = 0; gateway <= cut_off_gateway; ++gateway) {
        CHECK(status_with_key(gateway, "withdrawn") != 200);
        CHECK(status_with_key(gateway, "kept") != 401);
    }
    put_keys(3, {"kept"});
    for (std::size_t gateway = 0; gateway <= cut_off_gateway; ++gateway) {
        CHECK(eventually([&] { return status_with_key(gateway, "withdrawn") == 401; }));
        CHECK(status_with_key(gateway, "kept") == 200);
    }
    CHECK(stub.count("shop-1", "/plain/key") == 4);
}
