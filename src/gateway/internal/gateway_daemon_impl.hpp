#pragma once

#include "src/forwarding/caller_connection.hpp"
#include "src/forwarding/gateway_state.hpp"
#include "src/gateway/caller_table.hpp"
#include "src/gateway/gateway_daemon.hpp"
#include "src/gateway/home_connections.hpp"
#include "src/gateway/home_server.hpp"
#include "src/gateway/listener.hpp"
#include "src/gateway/lost_configuration.hpp"
#include "src/gateway/order_lease_manager.hpp"
#include "src/gateway/placement_client.hpp"
#include "src/gateway/registry_publisher.hpp"
#include "src/gateway/registry_subscriber.hpp"
#include "src/gateway/role_controller.hpp"
#include "src/gateway/usage_client.hpp"
#include "src/store/guarded_store.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <exception>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace cicadahatch::gateway {

/// \brief Implementation of the gateway daemon: the event loop with its listeners, and the thread
/// that watches the store.
struct gateway_daemon::impl {
    impl(settings::gateway_settings configured, std::string file, const gateway_clocks& clocks,
         const platform_binding& binding, logging::event_log::output output);

    [[nodiscard]] result<void> open();
    template <class Listener>
    [[nodiscard]] result<void> open_listener(Listener& listening, const http::endpoint& place);
    [[nodiscard]] result<void> open_follower(const http::endpoint& peers);
    void open_lease_manager(const http::endpoint& store_place);
    [[nodiscard]] bool run();
    void stop_following();
    void post_shutdown();
    void halt() { loop_.stop(); }

private:
    void accept_caller(forwarding::tcp::socket socket);
    void log_caller_exception(const std::exception_ptr& thrown);
    [[nodiscard]] page readiness_page(std::string_view path) const;
    [[nodiscard]] page metrics_page();
    [[nodiscard]] std::chrono::milliseconds registry_age() const;
    [[nodiscard]] std::size_t count_limited_backends() const;
    void set_gauge(const char* name, const char* help, std::size_t value);
    [[nodiscard]] bool is_ready() const;
    void log_readiness_change();
    void await_signal();
    void on_signal(int number);
    void reload();
    void start_shutdown();
    void tick();
    void schedule_tick();
    void tick_registry();
    void follow();
    void on_update(discovery::registry_update update);
    void log_behind(revision position);
    void log_catch_up(const discovery::catch_up& done);
    void log_restore(const discovery::store_restore& restored);
    void on_configuration(routing::configuration accepted);
    void on_passed_configuration(const store::entry& entry);
    void pass_on_lost_configuration();
    void on_confirmation(time_point complete_as_of);
    void log_configuration_age();
    void on_backends(const discovery::registry_update& update);
    void handle_backend_changes(const std::vector<discovery::directory_change>& changes);
    void begin_slow_start(const discovery::directory_change& change);
    void on_store_state(const discovery::store_status& state);

    settings::gateway_settings configured_;
    std::string file_;
    const clock& time_;
    const clock& lease_time_;
    platform_binding binding_;
    time_point started_at_;
    forwarding::asio::io_context loop_{1};
    logging::event_log log_;
    metrics::registry metric_values_;
    metrics::request_recorder request_recorder_;
    forwarding::gateway_state state_;
    home_server home_server_;
    home_connections homes_;
    placement_client placements_;
    usage_client usage_;
    role_controller role_controller_;
    discovery::registry_feed feed_;
    registry_publisher publisher_;
    registry_subscriber subscriber_;
    lost_configuration lost_configuration_;
    std::uint64_t passed_on_version_ = 0; ///< of the lost configuration; zero: none
    listener caller_listener_;
    listener readiness_listener_;
    listener metrics_listener_;
    forwarding::asio::signal_set signals_;
    forwarding::asio::steady_timer tick_timer_;
    caller_table callers_;
    time_point stopping_since_;
    std::uint64_t key_seed_ = 0; ///< secret of the index of keys
    bool was_outdated_ = false;  ///< the configuration, as last logged
    bool was_ready_ = false;     ///< as last logged
    bool has_been_ready_ = false;
    bool is_graceful_ = true; ///< every request ended before the shutdown timeout
    std::unique_ptr<store::key_value_store> store_;
    std::unique_ptr<store::guarded_store> guarded_store_;
    std::unique_ptr<discovery::follower> follower_;
    std::thread follower_thread_;
    std::unique_ptr<order_lease_manager> lease_manager_;
};

} // namespace cicadahatch::gateway
