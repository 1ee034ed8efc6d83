#include "cicadahatch/http"
#include "src/serving/cell_host.hpp"
#include "test/support/http_calls.hpp"
#include "test/support/sample_settings.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <mutex>
#include <nlohmann/json.hpp>

namespace {

using namespace cicadahatch;
using namespace serving;
using test_support::eventually;

const daemon_id former_home{"home"};
const daemon_id owner{"owner"};
const daemon_id self{"self"};
const daemon_id successor{"successor"};

/// The next in line of a cell whose home has copied one grant to it, before engines that note
/// what is cancelled.
struct next_home_fixture {
    manual_clock time;
    std::mutex mutex;
    std::vector<std::string> cancelled;
    std::unique_ptr<http::server> engine =
        http::server_builder{}
            .listen_on({"127.0.0.1", 0})
            .threads(2)
            .handle_with([this](http::exchange& call) { note_cancel(call); })
            .build()
            .value();
    engines::canceller cancels{time};
    backend_directory directory;
    std::vector<rpc::copy_grants> copies;
    cell_host host{
        time, {}, directory, cancels, [this](const daemon_id& to, const rpc::message& sent) {
            if (to == successor && std::holds_alternative<rpc::copy_grants>(sent)) {
                copies.push_back(std::get<rpc::copy_grants>(sent));
            }
        }};
    cell_plan plan;

    next_home_fixture() {
        settings::service described = test_support::sample_model_service("s");
        described.backends.clear();
        for (const std::string name : {"p1", "d1"}) {
            described.backends.push_back(
                {backend_id{name}, to_string(engine->place()),
                 name == "p1" ? backend_role::prefill : backend_role::decode, domain_id{"a"}});
        }
        auto services = std::make_shared<service_map>();
        services->emplace(described.name, described);
        directory.apply(revision{1}, services);
        plan = {cell_id{"cell"}, described.model, domain_id{"a"}, directory.backends()};
        copy_grant("r1");
    }

    void note_cancel(http::exchange& call) {
        const auto asked = nlohmann::json::parse(call.request().body);
        {
            const std::lock_guard lock{mutex};
            cancelled.push_back(asked["request_id"].get<std::string>());
        }
        call.respond(http::json_response(http::status_ok, "{}"));
    }

    void copy_grant(const std::string& request) {
        rpc::copy_grants copied;
        copied.cell = plan.id;
        copied.sequence = 1;
        copied.is_whole = true;
        rpc::grant_record record;
        record.request = request_id{request};
        record.attempt = attempt_number{1};
        record.holder = owner;
        record.prefill_backend = backend_id{"p1"};
        record.decode_backend = backend_id{"d1"};
        copied.added.push_back(record);
        host.handle(former_home, copied);
    }

    /// \returns the number of copies sent, of which each has to be whole
    std::size_t copy_on() {
        host.copy_to({{plan.id, successor}});
        for (const rpc::copy_grants& copied : copies) {
            CHECK(copied.is_whole);
        }
        return copies.size();
    }

    void owner_registers() {
        rpc::register_grants told;
        told.cell = plan.id;
        host.handle(owner, told);
    }

    bool is_cancelled_everywhere(const std::string& request) {
        return eventually([&] {
            const std::lock_guard lock{mutex};
            return std::count(cancelled.begin(), cancelled.end(), request) == 2;
        });
    }

    /// Cancels are queued at once, so that there is nothing to wait for.
    bool is_nothing_cancelled() {
        const std::lock_guard lock{mutex};
        return cancels.pending() == 0 && cancelled.empty();
    }
};

} // namespace

TEST_CASE_FIXTURE(next_home_fixture, "next home, owner's death learnt after the home's, cancels") {
    host.forget_daemon(former_home);
    host.host(plan, {owner, self});
    CHECK(is_nothing_cancelled());
    host.forget_daemon(owner);
    CHECK(is_cancelled_everywhere("r1"));
}

TEST_CASE_FIXTURE(next_home_fixture, "next home, owner's death learnt before the home's, cancels") {
    host.forget_daemon(owner);
    CHECK(is_nothing_cancelled());
    host.forget_daemon(former_home);
    host.host(plan, {self});
    CHECK(is_cancelled_everywhere("r1"));
}

TEST_CASE_FIXTURE(next_home_fixture,
                  "next home, owner dies while it begins with a list that still has it, cancels") {
    host.forget_daemon(former_home);
    host.forget_daemon(owner);
    host.host(plan, {owner, self});
    CHECK(is_cancelled_everywhere("r1"));
}

TEST_CASE_FIXTURE(next_home_fixture, "next home, owner has registered without it, leaves it") {
    host.host(plan, {owner, self});
    owner_registers();
    host.forget_daemon(owner);
    CHECK(is_nothing_cancelled());
}

TEST_CASE_FIXTURE(next_home_fixture, "home, a copy was lost, all grants are copied again") {
    host.host(plan, {self, successor});
    CHECK(copy_on() == 1);
    CHECK(copy_on() == 1);
    host.note_lost_copy(plan.id);
    CHECK(copy_on() == 2);
    CHECK(copy_on() == 2);
}

TEST_CASE_FIXTURE(next_home_fixture, "home, successor died and is back, gets all grants again") {
    host.host(plan, {self, successor});
    CHECK(copy_on() == 1);
    host.forget_daemon(successor);
    CHECK(copy_on() == 2);
    CHECK(copy_on() == 2);
}
