#pragma once

#include "src/claims/claim_book.hpp"
#include "src/configuration/holder.hpp"
#include "src/core/result.hpp"
#include "src/http/server.hpp"
#include "src/metrics/registry.hpp"
#include "src/orders/http_order_sender.hpp"
#include "src/serving/admin_handler.hpp"
#include "src/serving/caller_handler.hpp"
#include "src/serving/configuration_exchange.hpp"
#include "src/serving/load_poller.hpp"
#include "src/serving/membership_network.hpp"
#include "src/serving/order_driver.hpp"
#include "src/serving/plain_handler.hpp"
#include "src/serving/platform_share.hpp"
#include "src/serving/serving_context.hpp"
#include "src/store/key_value_store.hpp"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace cicadahatch::serving {

/// \brief One daemon: listeners, the parts behind them and the threads that drive them.
/// \sa daemon_builder
class daemon {
public:
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    daemon(daemon&&) = delete;
    daemon& operator=(daemon&&) = delete;
    ~daemon();

    [[nodiscard]] const http::endpoint& callers_place() const { return callers_->place(); }
    [[nodiscard]] const http::endpoint& admin_place() const { return admin_->place(); }
    [[nodiscard]] http::endpoint peers_place() const { return network_->place(); }

    /// \brief Leaves the balancer, refuses new work, hands cells over and waits for running
    /// requests, for at most the bound of the settings.
    /// \returns whether every request ended before the bound
    bool shut_down();

private:
    friend class daemon_builder;
    daemon(settings::daemon_settings configured, const clock& time);

    [[nodiscard]] result<void> open();
    void start_threads();
    [[nodiscard]] network_events make_events();
    [[nodiscard]] admin_actions make_actions();
    [[nodiscard]] load_poller::filter make_poll_filter() const;
    void on_message(const daemon_id& from, const rpc::message& received);
    void on_payload(const rpc::payload& value);
    void on_configuration(const configuration::snapshot_ptr& accepted);
    [[nodiscard]] bool is_watcher();
    [[nodiscard]] std::vector<daemon_id> other_daemons() const;
    void follow_configuration();
    void exchange_configuration();
    void drive_cells();
    /// Lets drive_cells() run the cells' systems ahead of the next tick.
    void note_work();
    void wait_for_work(time_point earliest);
    void drive_orders();
    void spread_digests(rpc::payload_kind kind);
    void note_traffic();
    void tend_claims();
    void follow_vm_list();
    /// Takes this daemon's part of the platform's rates.
    void share_platform();
    void wait(std::chrono::milliseconds time);
    [[nodiscard]] bool drain_backend(const backend_id& backend, bool is_drained);

    settings::daemon_settings configured_;
    const clock& time_;
    incarnation started_;
    std::unique_ptr<store::key_value_store> etcd_;
    platform_share share_;                        ///< used by the thread that follows the VM list
    std::unique_ptr<store::guarded_store> store_; ///< etcd_ behind budget and circuit breaker
    configuration::holder configuration_;
    backend_directory directory_;
    engines::canceller cancels_;
    metrics::request_recorder recorder_;
    metrics::registry values_;
    token_estimator estimator_;
    request_naming naming_;
    shared_retry_budget retries_;
    drain_state drain_;
    std::unique_ptr<claims::claim_book> claims_;
    std::unique_ptr<membership_network> network_;
    std::unique_ptr<configuration_exchange> exchange_;
    std::unique_ptr<grant_broker> broker_;
    orders::http_order_sender order_sender_;
    std::unique_ptr<order_driver> orders_;
    std::unique_ptr<attempt_runner> attempts_;
    std::unique_ptr<serving_context> context_;
    std::unique_ptr<plain_handler> plain_;
    std::unique_ptr<caller_handler> caller_handler_;
    std::unique_ptr<admin_handler> admin_handler_;
    std::unique_ptr<load_poller> poller_;
    std::unique_ptr<http::server> callers_;
    std::unique_ptr<http::server> admin_;
    rpc::traffic noted_traffic_; ///< used by the thread that drives the cells
    std::mutex mutex_;
    std::condition_variable stopping_;
    std::condition_variable work_;
    bool has_work_ = false; ///< guarded by the mutex
    std::atomic<bool> is_stopping_{false};
    std::vector<std::thread> threads_;
};

/// \brief Builds a daemon.
class daemon_builder {
public:
    daemon_builder& settings(settings::daemon_settings configured);
    daemon_builder& time(const clock& source);

    /// \returns a daemon that listens, or why it can't
    [[nodiscard]] result<std::unique_ptr<daemon>> build() const;

private:
    settings::daemon_settings configured_;
    const clock* time_ = nullptr;
};

} // namespace cicadahatch::serving
