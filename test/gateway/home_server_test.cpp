#include "cicadahatch/core"
#include "platform/binding.hpp"
#include "src/gateway/cell_configuration.hpp"
#include "src/gateway/home_server.hpp"
#include "test/support/reserved_port.hpp"

#include <doctest/doctest.h>
#include <functional>

namespace {

using namespace std::chrono_literals;
using namespace cicadahatch;
namespace asio = forwarding::asio;
using forwarding::tcp;

/// A daemon's connection to the home and the messages received on it.
struct peer_connection {
    std::shared_ptr<gateway::peer_channel> channel;
    std::vector<rpc::message> received;

    [[nodiscard]] bool has_grant(const std::string& request) const {
        return std::any_of(received.begin(), received.end(), [&](const rpc::message& message) {
            const auto* granted = std::get_if<rpc::granted>(&message);
            return granted != nullptr && granted->request == request_id{request};
        });
    }
};

struct home_fixture {
    system_clock time;
    asio::io_context loop{1};
    logging::event_log log{time, "home", {}, [this](std::string_view line) {
                               written.append(line);
                               return true;
                           }};
    std::string written;
    metrics::registry values;
    metrics::request_recorder recorded{time};
    gateway::platform_binding binding = platform::binding();
    forwarding::gateway_state state{loop,     time,           time, binding.wire, log, values,
                                    recorded, domain_id{"a"}, {}};
    gateway::home_server homes{state, gateway::gateway_policy()};
    tcp::endpoint place;

    home_fixture() {
        routing::configuration configured;
        configured.version = 1;
        routing::engine_traits traits;
        traits.slots = 8;
        traits.kv_tokens = 100'000;
        configured.services.push_back({service_id{"model"}, 10, traits});
        state.table = std::make_shared<const routing::route_table>(std::move(configured));
        state.daemon_ids = {daemon_id{"d1"}};
        std::vector<discovery::directory_change> changes;
        state.backends.upsert(engine("p-1", backend_role::prefill), changes);
        state.backends.upsert(engine("p-2", backend_role::prefill), changes);
        state.backends.upsert(engine("x-1", backend_role::decode), changes);
        place = {asio::ip::make_address("127.0.0.1"), test_support::reserve_port()};
        REQUIRE(homes.open(http::endpoint{"127.0.0.1", place.port()}));
    }
    static discovery::backend engine(const std::string& id, backend_role role) {
        discovery::backend backend;
        backend.id = backend_id{id};
        backend.service = service_id{"model"};
        backend.address = http::endpoint{"127.0.0.1", 1};
        backend.role = role;
        backend.slots = 8;
        return backend;
    }
    bool run_until(const std::function<bool()>& condition, std::chrono::milliseconds timeout = 5s) {
        const auto until = std::chrono::steady_clock::now() + timeout;
        while (!condition() && std::chrono::steady_clock::now() < until) {
            loop.run_for(2ms);
            loop.restart();
        }
        return condition();
    }
    std::shared_ptr<peer_connection> connect(const std::string& daemon) {
        auto connection = std::make_shared<peer_connection>();
        connection->channel = std::make_shared<gateway::peer_channel>(loop, time);
        connection->channel->on_messages(
            [row = connection.get()](const daemon_id&, const std::vector<rpc::message>& messages) {
                row->received.insert(row->received.end(), messages.begin(), messages.end());
            });
        bool is_open = false;
        connection->channel->open(daemon_id{daemon}, daemon_id{"home"}, place,
                                  [&] { is_open = true; });
        REQUIRE(run_until([&] { return is_open; }));
        rpc::register_grants nothing;
        nothing.cell = cell_id{"model"};
        nothing.is_last = true;
        connection->channel->send({nothing});
        return connection;
    }
    static rpc::acquire ask(const std::string& request) {
        rpc::acquire asked;
        asked.request = request_id{request};
        asked.attempt = attempt_number{1};
        asked.cell = cell_id{"model"};
        asked.service = service_id{"model"};
        asked.work_rank = rank::urgent;
        asked.prompt_tokens = 1000;
        asked.max_output_tokens = 1000;
        asked.first_token_target = 2s;
        return asked;
    }
};

TEST_CASE_FIXTURE(home_fixture,
                  "daemon, sends a request, response arrives on the same connection") {
    const auto only = connect("d1");
    only->channel->send({ask("r1")});
    CHECK(run_until([&] { return only->has_grant("r1"); }));
}

TEST_CASE_FIXTURE(home_fixture, "daemon, late data on a replaced connection, is ignored") {
    const auto before = connect("d1");
    before->channel->send({ask("r1")});
    REQUIRE(run_until([&] { return before->has_grant("r1"); }));
    // As in a network partition, the home does not see the first connection close.
    const auto after = connect("d1");
    after->channel->send({ask("r2")});
    REQUIRE(run_until([&] { return after->has_grant("r2"); }));

    before->channel->send({ask("r3")});
    run_until([&] { return !before->channel->is_open(); });
    CHECK_FALSE(before->channel->is_open());
    CHECK_FALSE(before->has_grant("r3"));
    const auto& cell = homes.cells().cells().at(cell_id{"model"});
    CHECK(cell.grants.size() == 1);

    after->channel->send({ask("r4")});
    CHECK(run_until([&] { return after->has_grant("r4"); }));
}

} // namespace
