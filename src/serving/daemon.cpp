#include "src/serving/daemon.hpp"

#include "src/configuration/follower.hpp"
#include "src/configuration/watchers.hpp"
#include "src/core/constants.hpp"
#include "src/core/hash.hpp"
#include "src/core/macros.hpp"
#include "src/scheduling/cell_home.hpp"
#include "src/serving/constants.hpp"
#include "src/serving/digest_period.hpp"
#include "src/serving/internal/checked_places.hpp"
#include "src/serving/vm_list_follower.hpp"
#include "src/store/etcd_store.hpp"
#include "src/store/guarded_store.hpp"

#include <glog/logging.h>

namespace cicadahatch::serving {

namespace {

using internal::to_places;
using std::chrono::milliseconds;

constexpr milliseconds refresh_period{100};
constexpr milliseconds traffic_period{1000};
/// Ticks for new work are this far apart at least, so that a flood is decided on in batches.
constexpr milliseconds least_tick_interval{1};
constexpr milliseconds exchange_period{100};
constexpr milliseconds watch_wait{2000};
constexpr milliseconds watch_pause{200};
constexpr milliseconds tend_period{2000};
constexpr std::size_t tend_limit = 64;
constexpr milliseconds order_period{200};
constexpr milliseconds vm_list_period{1000};
constexpr milliseconds shutdown_look_period{20};

/// Workers of the admin listener that slow senders can't hold.
constexpr int admin_reserved_workers = 1;

incarnation next_incarnation(const clock& time) {
    const auto since = time.wall_now().time_since_epoch();
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(since).count();
    return incarnation{static_cast<std::uint64_t>(micros)};
}

scheduling::cell_policy policy_of(const settings::daemon_settings& configured) {
    scheduling::policy_weights weights;
    weights.goodput = configured.weights.goodput;
    weights.wasted_prefill = configured.weights.wasted_prefill;
    weights.urgent_service = configured.weights.urgent_service;
    weights.rest_in_flood = configured.weights.rest_in_flood;
    scheduling::cell_policy base;
    base.kv_retention = configured.kv_retention;
    return scheduling::weighted_policy(weights, base);
}

std::unique_ptr<store::key_value_store> make_store(const settings::daemon_settings& configured) {
    store::etcd_store_builder builder;
    for (const http::endpoint& place : to_places(configured.platform_endpoints)) {
        builder.add_endpoint(place);
    }
    return builder.build();
}

std::shared_ptr<const service_map> to_services(const configuration::snapshot& accepted) {
    auto services = std::make_shared<service_map>();
    for (const auto& [name, held] : accepted.services()) {
        services->emplace(name, held->described);
    }
    return services;
}

result<std::unique_ptr<http::server>> listen(const settings::listener& described,
                                             const settings::daemon_settings& configured,
                                             int reserved_workers, const clock& time,
                                             http::handler handler) {
    const auto place = http::parse_endpoint(described.address);
    if (!place) {
        return tl::unexpected(place.error());
    }
    return http::server_builder{}
        .listen_on(*place)
        .threads(described.threads)
        .reserved_workers(reserved_workers)
        .time(time)
        .receive_timeout(configured.receive_timeout)
        .max_body_bytes(configured.max_body_bytes)
        .tls({described.tls_certificate, described.tls_peer_ca})
        .handle_with(std::move(handler))
        .build();
}

/// A drain holds for one incarnation of the backend server: "1:INCARNATION", or "0" to end it.
std::string to_drain_value(bool is_drained, incarnation started) {
    return is_drained ? "1:" + std::to_string(started.value()) : "0";
}

} // namespace

daemon::daemon(settings::daemon_settings configured, const clock& time)
    : configured_(std::move(configured)), time_(time), started_(next_incarnation(time)),
      etcd_(make_store(configured_)), share_{time.now(), 1},
      store_(std::make_unique<store::guarded_store>(*etcd_, time, budget_of(share_, 1, time.now()),
                                                    store::circuit_limits{},
                                                    stable_hash(configured_.name.str()))),
      cancels_(time), recorder_(time), naming_(configured_.name, started_),
      order_sender_(time, configured_.orders.longest_order) {}

daemon::~daemon() {
    {
        const std::lock_guard lock{mutex_};
        is_stopping_ = true;
    }
    stopping_.notify_all();
    work_.notify_all();
    for (std::thread& thread : threads_) {
        thread.join();
    }
    callers_.reset();
    admin_.reset();
}

result<void> daemon::open() {
    configuration_.subscribe(
        [this](const configuration::snapshot_ptr& accepted) { on_configuration(accepted); });
    network_ = std::make_unique<membership_network>(configured_.name, make_events());
    const auto send = [this](const daemon_id& to, rpc::message sent) {
        network_->send(to, std::move(sent));
    };
    exchange_ = std::make_unique<configuration_exchange>(time_, configuration_, send);
    broker_ = std::make_unique<grant_broker>(time_, policy_of(configured_), directory_, cancels_,
                                             *network_, configured_.domain,
                                             configured_.max_engines_per_cell);
    orders_ = std::make_unique<order_driver>(*store_, time_, configured_.name, configured_.orders,
                                             order_sender_);
    broker_->on_work([this] { note_work(); });
    attempts_ = std::make_unique<attempt_runner>(cancels_);
    claims_ = claims::claim_book_builder{*store_, time_}.owner(configured_.name).build();
    context_ = std::make_unique<serving_context>(serving_context{time_, configured_, directory_,
                                                                 *broker_, *attempts_, estimator_,
                                                                 naming_, recorder_, retries_});
    plain_ = std::make_unique<plain_handler>(*context_, *claims_);
    caller_handler_ = std::make_unique<caller_handler>(
        *context_, *plain_, drain_, [this] { return callers_->capacity() - callers_->running(); });
    admin_handler_ = std::make_unique<admin_handler>(*context_, *caller_handler_, drain_, *network_,
                                                     values_, make_actions());
    if (auto started = network_->start(configured_, started_, time_); !started) {
        return started;
    }
    auto admin = listen(configured_.admin, configured_, admin_reserved_workers, time_,
                        [this](http::exchange& call) { admin_handler_->handle(call); });
    if (!admin) {
        return tl::unexpected(admin.error());
    }
    admin_ = std::move(*admin);
    auto callers = listen(configured_.callers, configured_, configured_.reserved_workers, time_,
                          [this](http::exchange& call) { caller_handler_->handle(call); });
    if (!callers) {
        return tl::unexpected(callers.error());
    }
    callers_ = std::move(*callers);
    return {};
}

network_events daemon::make_events() {
    network_events events;
    events.on_message = [this](const daemon_id& from, const rpc::message& received) {
        on_message(from, received);
    };
    events.on_loss = [this](const std::vector<rpc::message>& lost) { broker_->note_lost(lost); };
    events.on_death = [this](const daemon_id& dead) { broker_->forget_daemon(dead); };
    events.on_payload = [this](const rpc::payload& value) { on_payload(value); };
    events.on_replaced = [this] { drain_.begin(); };
    return events;
}

admin_actions daemon::make_actions() {
    admin_actions actions;
    actions.drain_daemon = [this] {
        drain_.begin();
        network_->gossip().announce_leaving();
    };
    actions.drain_backend = [this](const backend_id& backend, bool is_drained) {
        return drain_backend(backend, is_drained);
    };
    return actions;
}

void daemon::on_message(const daemon_id& from, const rpc::message& received) {
    if (const auto* asked = std::get_if<rpc::fetch_configuration>(&received)) {
        return exchange_->answer(from, *asked);
    }
    if (const auto* piece = std::get_if<rpc::configuration_shard>(&received)) {
        return exchange_->take(from, *piece);
    }
    broker_->deliver(from, received);
}

void daemon::on_payload(const rpc::payload& value) {
    switch (value.kind) {
    case rpc::payload_kind::leaving_backend:
        directory_.note_leaving(backend_id{value.key}, incarnation{value.version});
        break;
    case rpc::payload_kind::cell_digest:
    case rpc::payload_kind::domain_digest:
        if (auto digest = decode_digest(value.value, time_.now())) {
            broker_->note_digest(std::move(*digest));
        }
        break;
    case rpc::payload_kind::configuration_revision:
        exchange_->note_revision(revision{value.version});
        break;
    case rpc::payload_kind::drain: {
        const auto server = directory_.backend(backend_id{value.key});
        const bool is_drained = value.value != to_drain_value(false, {});
        const bool is_of_now = server && value.value == to_drain_value(true, server->started);
        if (!is_drained || is_of_now || (server && server->started.empty())) {
            directory_.drain(backend_id{value.key}, is_drained);
        }
        break;
    }
    }
}

void daemon::on_configuration(const configuration::snapshot_ptr& accepted) {
    directory_.apply(accepted->at(), to_services(*accepted));
    network_->gossip().set_payload(rpc::payload_kind::configuration_revision, "",
                                   accepted->at().value(), "");
    for (const auto kind : {rpc::payload_kind::leaving_backend, rpc::payload_kind::drain}) {
        for (const rpc::payload& value : network_->gossip().payloads(kind)) {
            on_payload(value);
        }
    }
    LOG(INFO) << "configuration: revision " << accepted->at().value() << " in force";
}

bool daemon::drain_backend(const backend_id& backend, bool is_drained) {
    const auto server = directory_.backend(backend);
    if (!server) {
        return false;
    }
    LOG(INFO) << "serving: backend server " << backend.str()
              << (is_drained ? " drained" : " back in service");
    const auto version = next_incarnation(time_).value();
    network_->gossip().set_payload(rpc::payload_kind::drain, backend.str(), version,
                                   to_drain_value(is_drained, server->started));
    return directory_.drain(backend, is_drained);
}

void daemon::start_threads() {
    poller_ =
        std::make_unique<load_poller>(time_, directory_, [this] { return make_poll_filter(); });
    poller_->on_leaving([this](const backend_id& backend, incarnation started) {
        network_->gossip().announce_leaving_backend(backend, started);
    });
    threads_.emplace_back([this] { follow_configuration(); });
    threads_.emplace_back([this] { exchange_configuration(); });
    threads_.emplace_back([this] { drive_cells(); });
    threads_.emplace_back([this] { drive_orders(); });
    threads_.emplace_back([this] { tend_claims(); });
    threads_.emplace_back([this] { follow_vm_list(); });
}

/// A home asks the engines of its cells; plain servers are shared out over the domain's daemons.
load_poller::filter daemon::make_poll_filter() const {
    return [hosted = broker_->host().engines(), live = network_->live_daemons(configured_.domain),
            self = configured_.name](const backend_row& server) {
        if (server.role != backend_role::plain) {
            return hosted.count(server.id) != 0;
        }
        const auto asker = scheduling::cell_homes(cell_id{server.id.str()}, live, 1);
        // Every daemon looks for itself whether a server that is out of use is there again.
        const bool is_out = !server.is_reachable || has_left(server);
        return is_out || asker.empty() || asker.front() == self;
    };
}

void daemon::wait(milliseconds time) {
    std::unique_lock lock{mutex_};
    stopping_.wait_for(lock, time, [this] { return is_stopping_.load(); });
}

std::vector<daemon_id> daemon::other_daemons() const {
    std::vector<daemon_id> others = network_->live_daemons(configured_.domain);
    std::erase(others, configured_.name);
    if (!others.empty()) {
        return configuration::exchange_order(configured_.name, std::move(others));
    }
    for (const domain_id& domain : network_->gossip().known_domains()) {
        for (const daemon_id& far : network_->live_daemons(domain)) {
            others.push_back(far);
        }
    }
    return others;
}

bool daemon::is_watcher() {
    std::vector<configuration::watch_candidate> live;
    for (const daemon_id& id : network_->live_daemons(configured_.domain)) {
        // The others can't know that this daemon doesn't reach the store and take its place, so
        // it goes on trying; stepping down would leave nobody after an outage of the store.
        live.push_back({id});
    }
    return configuration::is_watcher(configured_.name, live);
}

void daemon::follow_configuration() {
    configuration::follower follower{*store_, configuration_};
    while (!is_stopping_) {
        if (configuration_.is_ready() && !is_watcher()) {
            follower.rest();
            wait(watch_pause);
            continue;
        }
        const auto polled = follower.poll(watch_wait);
        if (!polled) {
            LOG_EVERY_N(WARNING, 50) << "configuration: store: " << polled.error().message();
            wait(watch_pause);
        }
    }
}

void daemon::exchange_configuration() {
    while (!is_stopping_) {
        exchange_->tick(other_daemons());
        wait(exchange_period);
    }
}

void daemon::drive_cells() {
    time_point refreshed;
    time_point spread;
    time_point spread_wide;
    time_point counted;
    while (!is_stopping_) {
        const time_point now = time_.now();
        if (now - refreshed >= refresh_period) {
            refreshed = now;
            broker_->refresh();
        }
        if (now - spread >= digest_period(broker_->own_cell_count(), cell_digest_limits)) {
            spread = now;
            spread_digests(rpc::payload_kind::cell_digest);
        }
        if (now - spread_wide >= digest_period(broker_->cell_count(), domain_digest_limits)) {
            spread_wide = now;
            spread_digests(rpc::payload_kind::domain_digest);
        }
        if (now - counted >= traffic_period) {
            counted = now;
            note_traffic();
        }
        broker_->tick();
        wait_for_work(now + least_tick_interval);
    }
}

void daemon::drive_orders() {
    while (!is_stopping_) {
        if (const auto services = directory_.services()) {
            orders_->tick(broker_->host().order_cells(), *services, broker_->cell_count());
        }
        wait(order_period);
    }
}

void daemon::note_work() {
    {
        const std::lock_guard lock{mutex_};
        has_work_ = true;
    }
    work_.notify_one();
}

void daemon::wait_for_work(time_point earliest) {
    std::unique_lock lock{mutex_};
    work_.wait_for(lock, cicadahatch::tick_period, [this] { return is_stopping_ || has_work_; });
    if (has_work_) {
        work_.wait_until(lock, earliest, [this] { return is_stopping_.load(); });
    }
    has_work_ = false;
}

void daemon::spread_digests(rpc::payload_kind kind) {
    const auto version = next_incarnation(time_).value();
    for (const scheduling::cell_digest& digest : broker_->own_digests()) {
        network_->gossip().set_payload(kind, digest.id.str(), version, encode_digest(digest));
    }
}

void daemon::note_traffic() {
    const rpc::traffic now = network_->gossip().carried();
    const auto add = [&](const char* name, const char* help, std::uint64_t rpc::traffic::*count) {
        values_.counter_of(metrics::metric_name{name}, help)
            .add(now.*count - noted_traffic_.*count);
    };
    add("cicadahatch_peer_bytes_sent_total", "Bytes sent to other daemons",
        &rpc::traffic::bytes_sent);
    add("cicadahatch_peer_bytes_received_total", "Bytes received from other daemons",
        &rpc::traffic::bytes_received);
    add("cicadahatch_peer_batches_total", "Batches sent to and taken from other daemons",
        &rpc::traffic::batches);
    add("cicadahatch_peer_messages_total", "Messages sent to and taken from other daemons",
        &rpc::traffic::messages);
    noted_traffic_ = now;
}

void daemon::tend_claims() {
    while (!is_stopping_) {
        claims_->tend(tend_limit);
        wait(tend_period);
    }
}

void daemon::follow_vm_list() {
    vm_list_follower follower{to_places(configured_.platform_endpoints), directory_,
                              network_->gossip()};
    while (!is_stopping_) {
        if (is_watcher()) {
            follower.look();
        }
        share_platform();
        wait(vm_list_period);
    }
}

void daemon::share_platform() {
    std::size_t live = network_->live_daemons(configured_.domain).size();
    for (const domain_id& domain : network_->gossip().known_domains()) {
        live += network_->live_daemons(domain).size();
    }
    store_->set_budget(budget_of(share_, live, time_.now()));
}

bool daemon::shut_down() {
    LOG(INFO) << "serving: shutting down";
    drain_.begin();
    network_->gossip().announce_leaving();
    orders_->stop();
    const time_point ends = time_.now() + configured_.shutdown_bound;
    while (callers_->active() > 0 || cancels_.pending() > 0) {
        if (time_.now() >= ends) {
            LOG(WARNING) << "serving: shutdown bound reached";
            return false;
        }
        wait(shutdown_look_period);
    }
    network_->gossip().leave();
    LOG(INFO) << "serving: all requests ended";
    return true;
}

daemon_builder& daemon_builder::settings(settings::daemon_settings configured) {
    configured_ = std::move(configured);
    return *this;
}

daemon_builder& daemon_builder::time(const clock& source) {
    time_ = &source;
    return *this;
}

result<std::unique_ptr<daemon>> daemon_builder::build() const {
    CICADAHATCH_ASSERT(time_ != nullptr, daemon_has_a_clock);
    std::unique_ptr<daemon> built{new daemon{configured_, *time_}};
    if (const auto opened = built->open(); !opened) {
        return tl::unexpected(opened.error());
    }
    built->start_threads();
    return built;
}

} // namespace cicadahatch::serving
