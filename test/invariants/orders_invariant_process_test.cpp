#include "cicadahatch/store"
#include "test/support/backend_control.hpp"
#include "test/support/cluster.hpp"
#include "test/support/http_calls.hpp"
#include "test/support/order_relay.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

namespace {

using namespace cicadahatch;
using namespace cicadahatch::test_support;
using namespace std::chrono_literals;
using nlohmann::json;

/// Lease, idle connection and longest order come before an order to an engine that ignores numbers.
constexpr std::chrono::seconds unfenced_bound{60};

/// An order as the engine's stand-in recorded it.
struct seen_order {
    std::string kind;
    std::uint64_t number = 0;
    std::int64_t began = 0; ///< ms on the engine's clock
    std::int64_t ended = 0;
    bool is_refused = false;
};

struct orders_fixture {
    cluster running;
    std::set<std::string> names; ///< of the daemons that run
    settings::service wanted = model_service("summary");

    void start_engines(std::vector<std::string> prefill_extra,
                       std::vector<std::string> decode_extra) {
        running.start_backend("summary", "p1", backend_role::prefill, "north",
                              std::move(prefill_extra));
        running.start_backend("summary", "d1", backend_role::decode, "north",
                              std::move(decode_extra));
    }

    void start_daemons(int count, const std::string& rules) {
        for (int started = 0; started < count; ++started) {
            const std::string name = "entry-" + std::to_string(names.size() + 1);
            running.start_daemon(name, "north",
                                 R"("orders": { "loads_per_minute": 6000, )" + rules + " },\n");
            names.insert(name);
        }
    }

    std::size_t members(const std::string& daemon) {
        const json content =
            json::parse(fetch(running.admin(daemon), "/admin/v1/members"), nullptr, false);
        return content.is_object() ? content["members"].size() : 0;
    }

    json load_of(const std::string& engine) {
        return json::parse(fetch(running.backend(engine).place(), "/v1/load"), nullptr, false);
    }

    bool holds(const std::string& engine, const std::string& model, const std::string& version,
               const std::vector<std::string>& adapters) {
        const json held = load_of(engine)["models"][0];
        return held["name"] == model && held["version"] == version && held["adapters"] == adapters;
    }

    std::vector<seen_order> orders_at(const std::string& engine) {
        const json record =
            json::parse(fetch(running.backend(engine).place(), "/test/record"), nullptr, false);
        std::vector<seen_order> seen;
        for (const json& one : record["orders"]) {
            seen.push_back(
                {one["kind"], one["fencing"], one["began_ms"], one["ended_ms"], one["is_refused"]});
        }
        return seen;
    }

    /// \returns the daemon that holds the lease of the only cell; empty: none
    std::string issuer() {
        const auto store =
            store::etcd_store_builder{}.add_endpoint(running.platform().place()).build();
        const auto listed = store->list("cicadahatch/orders/");
        if (!listed || listed->entries.empty()) {
            return {};
        }
        const std::string& value = listed->entries.front().value;
        return value.substr(0, value.find('/'));
    }

    /// \returns the daemon that hosts the only cell
    std::string home() {
        for (const std::string& name : names) {
            const json content =
                json::parse(fetch(running.admin(name), "/admin/v1/cells"), nullptr, false);
            if (content.is_object() && !content["cells"].empty()) {
                return name;
            }
        }
        return {};
    }

    void publish_version(const std::string& version) {
        wanted.version = version;
        running.publish(wanted);
    }
};

/// Callers that each send one short completion after the other.
class steady_callers {
public:
    steady_callers(const http::endpoint& daemon, int count) {
        for (int caller = 0; caller < count; ++caller) {
            threads_.emplace_back([this, daemon, caller] { run(daemon, caller); });
        }
    }
    steady_callers(const steady_callers&) = delete;
    steady_callers& operator=(const steady_callers&) = delete;
    steady_callers(steady_callers&&) = delete;
    steady_callers& operator=(steady_callers&&) = delete;
    ~steady_callers() { stop(); }

    /// \returns answers that were neither whole nor truly refused
    [[nodiscard]] int wrong() const { return wrong_; }
    void stop() {
        is_over_ = true;
        for (std::thread& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

private:
    void run(const http::endpoint& daemon, int caller) {
        for (int turn = 0; !is_over_; ++turn) {
            const std::string prompt = std::to_string(caller) + " asks " + std::to_string(turn);
            const auto answer = stream_completion(daemon, "summary", prompt, 10);
            const json problem = json::parse(answer.problem, nullptr, false);
            const bool is_refused = problem.is_object() && problem["execution"] == "not_run";
            wrong_ += answer.text == expected_text(prompt, 10) || is_refused ? 0 : 1;
        }
    }

    std::atomic<bool> is_over_{false};
    std::atomic<int> wrong_{0};
    std::vector<std::thread> threads_;
};

/// \returns whether no order ran while one of another issuer did, and no older issuer's came after
bool is_one_issuer_at_a_time(const std::vector<seen_order>& seen) {
    for (const seen_order& one : seen) {
        for (const seen_order& other : seen) {
            const bool is_later_issuer = other.number > one.number;
            if (is_later_issuer && other.began < one.ended) {
                return false;
            }
        }
    }
    return true;
}

std::size_t count_refused(const std::vector<seen_order>& seen) {
    return static_cast<std::size_t>(std::count_if(
        seen.begin(), seen.end(), [](const seen_order& one) { return one.is_refused; }));
}

std::size_t count_role_orders(const std::vector<seen_order>& seen) {
    return static_cast<std::size_t>(std::count_if(
        seen.begin(), seen.end(), [](const seen_order& one) { return one.kind == "set_role"; }));
}

} // namespace

TEST_CASE_FIXTURE(orders_fixture, "engines, other state than configured, are ordered to it") {
    start_engines({"--model", "old", "--version", "1"}, {"--role", "prefill"});
    wanted.version = "2";
    wanted.adapter = "lace";
    running.publish(wanted);
    start_daemons(1, R"("lease_idle_s": 1, "lease_s": 60)");
    CHECK(eventually([&] { return holds("p1", "model", "2", {"lace"}); }));
    CHECK(eventually([&] { return holds("d1", "model", "2", {"lace"}); }));
    CHECK(eventually([&] { return load_of("d1")["role"] == "decode"; }));
    CHECK(load_of("p1")["role"] == "prefill");
    const auto answer = stream_completion(running.callers("entry-1"), "summary", "afterwards", 5);
    CHECK(answer.text == expected_text("afterwards", 5));
    // The lease lasts longer than the test waits: only giving it up erases the key.
    CHECK(eventually([&] { return issuer().empty(); }));
    CHECK(orders_at("p1").size() == 2);
    CHECK(orders_at("d1").size() == 3);
}

TEST_CASE_FIXTURE(orders_fixture, "daemon terminated while it holds the lease, gives it up") {
    start_engines({"--version", "1"}, {"--version", "1"});
    publish_version("2");
    start_daemons(1, R"("lease_idle_s": 600, "lease_s": 600)");
    REQUIRE(eventually([&] { return holds("p1", "model", "2", {}); }));
    CHECK(issuer() == "entry-1");
    running.daemon("entry-1").send_signal(SIGTERM);
    CHECK(running.daemon("entry-1").wait() == 0);
    CHECK(issuer().empty());
}

TEST_CASE_FIXTURE(orders_fixture, "daemon loses the home while it holds the lease, next issues") {
    start_engines({"--version", "1"}, {"--version", "1"});
    publish_version("2");
    const std::string rules = R"("lease_idle_s": 600, "lease_s": 600)";
    start_daemons(1, rules);
    REQUIRE(eventually([&] { return holds("p1", "model", "2", {}); }));
    constexpr std::size_t most_daemons = 8;
    while (home() == "entry-1" && names.size() < most_daemons) {
        start_daemons(1, rules);
        const std::size_t count = names.size();
        REQUIRE(eventually([&] { return members("entry-1") == count; }));
        REQUIRE(eventually([&] { return !home().empty(); }));
    }
    REQUIRE(eventually([&] { return home() != "entry-1"; }));
    publish_version("3");
    CHECK(eventually([&] { return holds("p1", "model", "3", {}); }));
    CHECK(issuer() == home());
    CHECK(is_one_issuer_at_a_time(orders_at("p1")));
}

TEST_CASE_FIXTURE(orders_fixture, "issuer frozen with an order sent, late order is refused") {
    start_engines({"--version", "1"}, {"--version", "2"});
    order_relay relay{running.backend("p1").place()};
    running.redirect_backend("p1", relay.place());
    publish_version("2");
    start_daemons(2, R"("lease_s": 2, "lease_idle_s": 600, "longest_order_s": 60)");
    REQUIRE(eventually([&] { return relay.is_holding(); }));
    const std::string frozen = issuer();
    REQUIRE_FALSE(frozen.empty());
    running.daemon(frozen).send_signal(SIGSTOP);
    REQUIRE(eventually([&] { return !issuer().empty() && issuer() != frozen; }));
    REQUIRE(eventually([&] { return holds("p1", "model", "2", {}); }));
    relay.let_go();
    running.daemon(frozen).send_signal(SIGCONT);
    REQUIRE(eventually([&] { return orders_at("p1").size() == 2; }));
    const auto seen = orders_at("p1");
    CHECK(seen[1].number < seen[0].number);
    CHECK(seen[1].is_refused);
    publish_version("3");
    CHECK(eventually([&] { return holds("p1", "model", "3", {}); }));
    CHECK(count_refused(orders_at("p1")) == 1);
}

TEST_CASE_FIXTURE(orders_fixture, "engine ignores numbers, issuer frozen, two never act at once") {
    const std::vector<std::string> slow = {"--ignores-fencing", "--order-ms", "5000",
                                           "--connection-idle-ms", "1000"};
    start_engines(slow, slow);
    wanted.adapter = "lace";
    wanted.checks_fencing = false;
    publish_version("2");
    start_daemons(
        2, R"("lease_s": 2, "lease_idle_s": 600, "longest_order_s": 6, "connection_idle_s": 1)");
    REQUIRE(eventually([&] { return !orders_at("p1").empty(); }, unfenced_bound));
    const std::string frozen = issuer();
    REQUIRE_FALSE(frozen.empty());
    running.daemon(frozen).send_signal(SIGSTOP);
    REQUIRE(eventually([&] { return !issuer().empty() && issuer() != frozen; }));
    const std::uint64_t first = orders_at("p1").front().number;
    REQUIRE(eventually([&] { return orders_at("p1").back().number > first; }, unfenced_bound));
    running.daemon(frozen).send_signal(SIGCONT);
    REQUIRE(eventually([&] { return holds("p1", "model", "2", {"lace"}); }));
    const auto seen = orders_at("p1");
    CHECK(is_one_issuer_at_a_time(seen));
    CHECK(is_one_issuer_at_a_time(orders_at("d1")));
}

TEST_CASE_FIXTURE(orders_fixture, "decode pool pressed, prefill engine changes its role for good") {
    start_engines({}, {"--slots", "2"});
    running.start_backend("summary", "p2", backend_role::prefill, "north", {"--slots", "2"});
    wanted.allows_role_change = true;
    publish_version("");
    start_daemons(2, R"("lease_s": 2, "pressure_settled_s": 1, "role_change_spacing_s": 1)");
    REQUIRE(running.wait_until_ready());
    const auto changed = [&]() -> std::string {
        for (std::string engine : {"p1", "p2"}) {
            if (load_of(engine)["role"] == "decode") {
                return engine;
            }
        }
        return {};
    };
    const auto has_decoded = [&](const std::string& engine) {
        const auto runs = runs_at(running.backend(engine).place());
        return std::any_of(runs.begin(), runs.end(),
                           [](const backend_run& run) { return run.kind == "decode"; });
    };
    steady_callers callers{running.callers("entry-1"), 12};
    REQUIRE(eventually([&] { return !changed().empty(); }));
    const std::string engine = changed();
    CHECK(eventually([&] { return has_decoded(engine); }));
    callers.stop();
    CHECK(callers.wrong() == 0);
    const std::string left = home();
    running.daemon(left).kill();
    names.erase(left);
    CHECK(eventually([&] { return !home().empty(); }));
    // An order back to the configured role would come before the one for the adapter.
    wanted.adapter = "lace";
    publish_version("2");
    CHECK(eventually([&] { return holds(engine, "model", "2", {"lace"}); }));
    CHECK(load_of(engine)["role"] == "decode");
    CHECK(count_role_orders(orders_at(engine)) == 1);
}
