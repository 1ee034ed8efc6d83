#include "src/forwarding/engine_probe.hpp"

#include "src/forwarding/constants.hpp"

namespace cicadahatch::forwarding {

const char* to_string(process_state state) noexcept {
    switch (state) {
    case process_state::running:
        return "running";
    case process_state::ended:
        return "ended";
    case process_state::unknown:
        return "unknown";
    }
    return "unknown";
}

asio::awaitable<process_state> probe_process(gateway_state& state, discovery::backend target) {
    const auto connection =
        std::make_shared<backend_connection>(state.loop, target.id, target.started);
    connection->set_deadline(state.time.now() + connect_timeout);
    const std::error_code error = co_await connection->connect(target.address);
    connection->close();
    if (!error) {
        co_return process_state::running;
    }
    co_return connection->was_refused() ? process_state::ended : process_state::unknown;
}

} // namespace cicadahatch::forwarding
