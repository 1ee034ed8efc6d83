#include "src/serving/daemon.hpp"

#include "src/configuration/follower.hpp"
#include "src/core/constants.hpp"
#include "src/core/macros.hpp"
#include "src/platform/etcd_store.hpp"
#include "src/serving/constants.hpp"
#include "src/serving/solo_network.hpp"

#include <glog/logging.h>

namespace cicadahatch::serving {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds refresh_period{100};
constexpr milliseconds watch_wait{2000};
constexpr milliseconds watch_pause{200};
constexpr milliseconds tend_period{2000};
constexpr std::size_t tend_limit = 64;
constexpr milliseconds shutdown_look_period{20};

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

std::unique_ptr<platform::store> make_store(const settings::daemon_settings& configured) {
    platform::etcd_store_builder builder;
    for (const std::string& text : configured.platform_endpoints) {
        const auto place = http::parse_endpoint(text);
        CICADAHATCH_ASSERT(place.has_value(), platform_endpoints_are_checked);
        builder.add_endpoint(*place);
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
                                             std::uint64_t max_body, http::handler handler) {
    const auto place = http::parse_endpoint(described.address);
    if (!place) {
        return tl::unexpected(place.error());
    }
    return http::server_builder{}
        .listen_on(*place)
        .threads(described.threads)
        .max_body_bytes(max_body)
        .tls({described.tls_certificate, described.tls_peer_ca})
        .handle_with(std::move(handler))
        .build();
}

} // namespace

daemon::daemon(settings::daemon_settings configured, const clock& time)
    : configured_(std::move(configured)), time_(time), started_(next_incarnation(time)),
      store_(make_store(configured_)), cancels_(time), recorder_(time),
      naming_(configured_.name, started_) {}

daemon::~daemon() {
    {
        const std::lock_guard lock{mutex_};
        is_stopping_ = true;
    }
    stopping_.notify_all();
    for (std::thread& thread : threads_) {
        thread.join();
    }
    callers_.reset();
    admin_.reset();
}

const http::endpoint& daemon::peers_place() const {
    return admin_->place();
}

result<void> daemon::open() {
    configuration_.subscribe([this](const configuration::snapshot_ptr& accepted) {
        directory_.apply(accepted->at(), to_services(*accepted));
        LOG(INFO) << "configuration: revision " << accepted->at().value() << " in force";
    });
    network_ = std::make_unique<solo_network>(configured_.name);
    broker_ = std::make_unique<grant_broker>(time_, policy_of(configured_), directory_, cancels_,
                                             *network_, configured_.domain,
                                             configured_.max_engines_per_cell);
    attempts_ = std::make_unique<attempt_runner>(cancels_);
    claims_ = claims::claim_book_builder{*store_, time_}.owner(configured_.name).build();
    context_ = std::make_unique<serving_context>(serving_context{time_, configured_, directory_,
                                                                 *broker_, *attempts_, estimator_,
                                                                 naming_, recorder_, retries_});
    plain_ = std::make_unique<plain_handler>(*context_, *claims_);
    caller_handler_ = std::make_unique<caller_handler>(
        *context_, *plain_, drain_, [this] { return callers_->capacity() - callers_->active(); });
    admin_actions actions;
    actions.drain_daemon = [this] { drain_.begin(); };
    actions.drain_backend = [this](const backend_id& backend, bool is_drained) {
        return drain_backend(backend, is_drained);
    };
    admin_handler_ = std::make_unique<admin_handler>(*context_, *caller_handler_, drain_, *network_,
                                                     values_, std::move(actions));
    auto admin = listen(configured_.admin, configured_.max_body_bytes,
                        [this](http::exchange& call) { admin_handler_->handle(call); });
    if (!admin) {
        return tl::unexpected(admin.error());
    }
    admin_ = std::move(*admin);
    auto callers = listen(configured_.callers, configured_.max_body_bytes,
                          [this](http::exchange& call) { caller_handler_->handle(call); });
    if (!callers) {
        return tl::unexpected(callers.error());
    }
    callers_ = std::move(*callers);
    return {};
}

void daemon::start_threads() {
    poller_ =
        std::make_unique<load_poller>(time_, directory_, [](const backend_row&) { return true; });
    threads_.emplace_back([this] { follow_configuration(); });
    threads_.emplace_back([this] { drive_cells(); });
    threads_.emplace_back([this] { tend_claims(); });
}

void daemon::wait(milliseconds time) {
    std::unique_lock lock{mutex_};
    stopping_.wait_for(lock, time, [this] { return is_stopping_.load(); });
}

void daemon::follow_configuration() {
    configuration::follower follower{*store_, configuration_};
    while (!is_stopping_) {
        const auto polled = follower.poll(watch_wait);
        if (!polled) {
            LOG_EVERY_N(WARNING, 50) << "configuration: store: " << polled.error().message();
            wait(watch_pause);
        }
    }
}

void daemon::drive_cells() {
    time_point refreshed;
    while (!is_stopping_) {
        const time_point now = time_.now();
        if (now - refreshed >= refresh_period) {
            refreshed = now;
            broker_->refresh();
        }
        broker_->tick();
        wait(cicadahatch::tick_period);
    }
}

void daemon::tend_claims() {
    while (!is_stopping_) {
        claims_->tend(tend_limit);
        wait(tend_period);
    }
}

bool daemon::drain_backend(const backend_id& backend, bool is_drained) {
    LOG(INFO) << "serving: backend server " << backend.str()
              << (is_drained ? " drained" : " back in service");
    return directory_.drain(backend, is_drained);
}

bool daemon::shut_down() {
    LOG(INFO) << "serving: shutting down";
    drain_.begin();
    const time_point ends = time_.now() + configured_.shutdown_bound;
    while (callers_->active() > 0 || cancels_.pending() > 0) {
        if (time_.now() >= ends) {
            LOG(WARNING) << "serving: shutdown bound reached";
            return false;
        }
        wait(shutdown_look_period);
    }
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
