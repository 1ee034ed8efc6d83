#pragma once

#include "src/forwarding/caller_connection.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/gateway/caller_table.hpp"
#include "src/gateway/gateway_daemon.hpp"
#include "src/gateway/home_server.hpp"
#include "src/gateway/listener.hpp"
#include "src/gateway/order_desk.hpp"
#include "src/gateway/placement_client.hpp"
#include "src/gateway/registry_listener.hpp"
#include "src/gateway/registry_publisher.hpp"
#include "src/gateway/role_orders.hpp"
#include "src/store/guarded_store.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cicadahatch::gateway {

/// \brief The parts of a gateway daemon: the event loop with its listeners, and the thread that
/// follows the store.
struct gateway_daemon::parts {
    parts(settings::gateway_settings configured, std::string file, const gateway_clocks& clocks,
          const platform_binding& binding, logging::event_log::output out);

    [[nodiscard]] result<void> open();
    [[nodiscard]] result<void> open_follower(const http::endpoint& peers);
    void open_desk(const http::endpoint& store_place);
    [[nodiscard]] bool run();
    void stop_following();
    void post_shutdown();
    void halt() { loop_.stop(); }

private:
    void accept_caller(forwarding::tcp::socket socket);
    [[nodiscard]] page readiness_page(std::string_view path) const;
    [[nodiscard]] page metrics_page();
    void set_gauge(const char* name, const char* help, std::size_t value);
    [[nodiscard]] bool is_ready() const;
    void note_readiness();
    void await_signal();
    void on_signal(int number);
    void reload();
    void start_shutdown();
    void tick();
    void schedule_tick();
    void tend_registry();
    void follow();
    void on_update(discovery::registry_update update);
    void on_configuration(routing::configuration accepted);
    void on_backends(const discovery::registry_update& update);
    void note_changes(const std::vector<discovery::directory_change>& changes);
    void on_store_state(const discovery::store_status& state);

    settings::gateway_settings configured_;
    std::string file_;
    const clock& time_;
    const clock& lease_time_;
    platform_binding binding_;
    forwarding::asio::io_context loop_{1};
    logging::event_log log_;
    metrics::registry values_;
    metrics::request_recorder recorded_;
    forwarding::gateway_state state_;
    home_server homes_;
    placement_client places_;
    role_orders roles_;
    discovery::registry_feed feed_;
    registry_publisher publisher_;
    registry_listener sources_;
    listener callers_;
    listener readiness_;
    listener metrics_;
    forwarding::asio::signal_set signals_;
    forwarding::asio::steady_timer tick_timer_;
    caller_table open_callers_;
    time_point stopping_since_;
    bool was_ready_ = false;
    bool is_whole_ = true; ///< every request ended before the bound on the shutdown
    std::unique_ptr<store::key_value_store> store_;
    std::unique_ptr<store::guarded_store> guarded_;
    std::unique_ptr<discovery::follower> follower_;
    std::thread following_;
    std::unique_ptr<order_desk> desk_;
};

} // namespace cicadahatch::gateway
