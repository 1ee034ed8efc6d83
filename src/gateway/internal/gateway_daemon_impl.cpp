#include "src/gateway/internal/gateway_daemon_impl.hpp"

#include "src/core/hash.hpp"
#include "src/core/random.hpp"
#include "src/forwarding/constants.hpp"
#include "src/gateway/cell_configuration.hpp"
#include "src/gateway/constants.hpp"
#include "src/metrics/exposition.hpp"
#include "src/settings/load.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <csignal>
#include <exception>

namespace cicadahatch::gateway {

namespace {

using namespace std::chrono_literals;
namespace asio = forwarding::asio;
using forwarding::net_error;
using logging::weight;

/// Period of maintenance that no event triggers, such as closing expired connections and entries
/// that were not renewed.
constexpr std::chrono::milliseconds tick_interval = 100ms;

/// The circuit to the store opens only briefly: configuration must take effect within seconds.
constexpr store::circuit_limits store_circuit{4, 200ms, 1s};

/// Half of the bound on draining is used for reading the store, the rest for sending.
constexpr int polls_per_drain_bound = 5;

/// Publications per shorter bound of draining and configuration by a daemon with subscribers.
/// Including the delay after a change, the time between two is less than half of that bound.
constexpr int publications_per_bound = 4;

/// Share of the bound after which a silent source is dropped. The rest is for reading the store
/// directly.
constexpr double silence_share = 0.6;

/// Requests and responses of callers may use the memory divided by this. The rest is for
/// connections, code and what the allocator can't reuse.
constexpr std::size_t caller_memory_divisor = 4;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

constexpr std::size_t bytes_per_mb = 1024UL * 1024;

forwarding::forwarding_options to_forwarding_options(const settings::gateway_settings& configured) {
    forwarding::forwarding_options options;
    options.retry_ratio = configured.bounds.retry_ratio;
    options.retry_extra = configured.bounds.retry_extra;
    options.paces_servers = configured.pacing.enabled;
    options.ejection.starts_slowly = configured.pacing.enabled;
    options.usage_slack = configured.bounds.usage_slack;
    return options;
}

std::chrono::milliseconds shortest_bound(const settings::installation_bounds& bounds) {
    return std::min(bounds.drain, bounds.configuration);
}

std::chrono::milliseconds registry_silence(const settings::installation_bounds& bounds) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(shortest_bound(bounds) *
                                                                 silence_share);
}

std::uint64_t random_seed(const settings::gateway_settings& configured, const clock& time) {
    const auto since = time.wall_now().time_since_epoch().count();
    return stable_hash(configured.name.str()) ^ static_cast<std::uint64_t>(since);
}

std::string signal_name(int number) {
    switch (number) {
    case SIGTERM:
        return "SIGTERM";
    case SIGINT:
        return "SIGINT";
    default:
        return "SIGHUP";
    }
}

} // namespace

gateway_daemon::impl::impl(settings::gateway_settings configured, std::string file,
                           const gateway_clocks& clocks, const platform_binding& binding,
                           logging::event_log::output output)
    : configured_(std::move(configured)), file_(std::move(file)), time_(clocks.time),
      lease_time_(clocks.lease_time), binding_(binding), started_at_(time_.now()),
      log_(time_, configured_.name.str(), {}, std::move(output)),
      request_recorder_(time_), state_{loop_,
                                       time_,
                                       lease_time_,
                                       binding_.wire,
                                       log_,
                                       metric_values_,
                                       request_recorder_,
                                       configured_.domain,
                                       to_forwarding_options(configured_)},
      home_server_(state_, gateway_policy()), homes_(state_, configured_.name),
      placements_(state_, configured_.name, homes_), usage_(state_, homes_),
      role_controller_(state_, home_server_, lease_time_, configured_.name,
                       configured_.bounds.engines_check_fencing),
      feed_(lease_time_, registry_silence(configured_.bounds)),
      publisher_(loop_, time_, lease_time_),
      subscriber_(loop_, time_, log_, configured_.name, configured_.domain,
                  registry_silence(configured_.bounds),
                  [this](discovery::store_delta delta) { feed_.offer(std::move(delta)); }),
      caller_listener_(
          loop_, [this](forwarding::tcp::socket socket) { accept_caller(std::move(socket)); }),
      readiness_listener_(loop_,
                          [this](forwarding::tcp::socket socket) {
                              asio::co_spawn(loop_,
                                             serve_pages(std::move(socket),
                                                         [this](std::string_view path) {
                                                             return readiness_page(path);
                                                         }),
                                             asio::detached);
                          }),
      metrics_listener_(loop_,
                        [this](forwarding::tcp::socket socket) {
                            asio::co_spawn(
                                loop_,
                                serve_pages(std::move(socket),
                                            [this](std::string_view) { return metrics_page(); }),
                                asio::detached);
                        }),
      signals_(loop_), tick_timer_(loop_), callers_(max_callers(configured_.limits.descriptors)) {
    state_.random = random_source{random_seed(configured_, time_)};
    key_seed_ = stable_hash(unique_token());
    state_.memory.limit = configured_.limits.memory_mb * bytes_per_mb / caller_memory_divisor;
    state_.placements = &placements_;
    state_.usage = &usage_;
    publisher_.on_configuration(
        [this](const store::entry& entry) { on_passed_configuration(entry); });
    subscriber_.on_configuration(
        [this](const store::entry& entry) { on_passed_configuration(entry); });
    homes_.add_user(placements_);
    homes_.add_user(usage_);
    if (configured_.bounds.revocation > 0ms) {
        state_.configuration_age.max_age = configured_.bounds.revocation;
        subscriber_.measure_age(lease_time_);
    }
}

template <class Listener>
result<void> gateway_daemon::impl::open_listener(Listener& listening, const http::endpoint& place) {
    auto opened = listening.open(place);
    if (!opened) {
        log_.write(weight::notable, "listener.failed",
                   {{"address", http::to_string(place)}, {"error", opened.error().message()}});
    }
    return opened;
}

result<void> gateway_daemon::impl::open() {
    for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
        signals_.add(number);
    }
    const auto store_place = http::parse_endpoint(configured_.store.address);
    const auto callers = http::parse_endpoint(configured_.callers);
    const auto readiness = http::parse_endpoint(configured_.readiness);
    const auto peers = http::parse_endpoint(configured_.peers);
    for (const auto* place : {&store_place, &callers, &readiness, &peers}) {
        if (!*place) {
            return tl::unexpected(place->error());
        }
    }
    store_ = binding_.make_store(*store_place);
    const auto budget = store::share_budget(configured_.store.reads_per_second,
                                            configured_.store.writes_per_second, 1);
    guarded_store_ = std::make_unique<store::guarded_store>(*store_, time_, budget, store_circuit,
                                                            random_seed(configured_, time_));
    if (const auto opened = open_follower(*peers); !opened) {
        return opened;
    }
    open_lease_manager(*store_place);
    if (const auto opened = open_listener(home_server_, *peers); !opened) {
        return opened;
    }
    if (const auto opened = open_listener(caller_listener_, *callers); !opened) {
        return opened;
    }
    if (!configured_.metrics.empty()) {
        const auto metrics = http::parse_endpoint(configured_.metrics);
        if (const auto opened = open_listener(metrics_listener_, *metrics); !opened) {
            return opened;
        }
    }
    return open_listener(readiness_listener_, *readiness);
}

result<void> gateway_daemon::impl::open_follower(const http::endpoint& peers) {
    discovery::follower_options options;
    options.update_delay = configured_.bounds.drain / polls_per_drain_bound;
    options.min_outage = registry_silence(configured_.bounds);
    // Entries whose grace period has ended are removed by the next tick.
    options.stabilization =
        std::max(tick_interval, configured_.bounds.stabilization) - tick_interval;
    options.relaying_watch_timeout = shortest_bound(configured_.bounds) / publications_per_bound;
    discovery::registered_daemon self{configured_.name, peers, configured_.domain, {}};
    if (!configured_.registry.empty()) {
        const auto registry = http::parse_endpoint(configured_.registry);
        if (!registry) {
            return tl::unexpected(registry.error());
        }
        if (const auto opened = open_listener(publisher_, *registry); !opened) {
            return opened;
        }
        self.registry_address = *registry;
    }
    follower_ = std::make_unique<discovery::follower>(*guarded_store_, binding_.entries, options,
                                                      time_, std::move(self));
    follower_->use_feed(
        feed_); // Without a registry address the feed is never live: there are no sources.
    if (state_.configuration_age.max_age) {
        follower_->on_confirmation(lease_time_, [this](time_point complete_as_of) {
            asio::post(loop_, [this, complete_as_of] { on_confirmation(complete_as_of); });
        });
    }
    follower_->on_generation([this](store::generation current) {
        if (lease_manager_ != nullptr) {
            lease_manager_->set_generation(current);
        }
    });
    follower_->on_behind([this](revision position) {
        asio::post(loop_, [this, position] { log_behind(position); });
    });
    follower_->on_registration([this] {
        asio::post(loop_, [this] { log_.write(weight::notable, "daemon.registered", {}); });
    });
    follower_->on_withdrawal([this] {
        asio::post(loop_, [this] { log_.write(weight::notable, "daemon.withdrawn", {}); });
    });
    follower_->on_delta([this](discovery::store_delta delta) {
        asio::post(loop_, [this, delta = std::move(delta)] { publisher_.publish(delta); });
    });
    return {};
}

void gateway_daemon::impl::open_lease_manager(const http::endpoint& store_place) {
    orders::issuer_limits limits;
    limits.lease = std::chrono::ceil<std::chrono::seconds>(configured_.bounds.order_lease);
    limits.safety_margin = lease_margin;
    // An engine accepts or refuses an order on arrival, on a new or an active connection.
    limits.max_order_duration = std::chrono::ceil<std::chrono::seconds>(configured_.bounds.transit);
    limits.connection_idle_timeout = 0s;
    lease_manager_ = std::make_unique<order_lease_manager>(
        binding_.make_store(store_place), lease_time_, configured_.name, limits,
        [this](const cell_id& cell, const std::optional<orders::order_permit>& permit) {
            asio::post(loop_, [this, cell, permit] { role_controller_.on_permit(cell, permit); });
        });
    role_controller_.set_lease_manager(lease_manager_.get());
}

bool gateway_daemon::impl::run() {
    log_.write(weight::notable, "daemon.started",
               {{"domain", configured_.domain.str()},
                {"callers", configured_.callers},
                {"store", configured_.store.address},
                {"memory_mb", configured_.limits.memory_mb}});
    follower_thread_ = std::thread([this] { follow(); });
    await_signal();
    schedule_tick();
    loop_.run();
    log_.write(weight::notable, "daemon.stopped",
               {{"whole", is_graceful_},
                {"running", state_.running_requests},
                {"version", state_.table ? state_.table->version() : 0},
                {"registry_age_ms", registry_age()}});
    return is_graceful_;
}

void gateway_daemon::impl::stop_following() {
    if (follower_) {
        follower_->stop();
    }
    if (follower_thread_.joinable()) {
        follower_thread_.join();
    }
}

void gateway_daemon::impl::post_shutdown() {
    asio::post(loop_, [this] { start_shutdown(); });
}

void gateway_daemon::impl::accept_caller(forwarding::tcp::socket socket) {
    if (!callers_.make_room() && !forwarding::end_stalled_caller(state_)) {
        // Closing the socket tells the caller that nothing was read, so it may retry elsewhere at
        // once.
        log_.write(weight::notable, "caller.turned_away", {{"callers", callers_.size()}});
        return;
    }
    const auto accepted =
        std::make_shared<forwarding::caller_connection>(state_, std::move(socket));
    callers_.add(accepted);
    asio::co_spawn(
        loop_, [accepted] { return accepted->serve(); },
        [this](const std::exception_ptr& thrown) { log_caller_exception(thrown); });
}

void gateway_daemon::impl::log_caller_exception(const std::exception_ptr& thrown) {
    if (!thrown) {
        return;
    }
    try {
        std::rethrow_exception(thrown);
    } catch (const std::exception& exception) {
        log_.write(weight::notable, "caller.failed", {{"error", exception.what()}});
    }
}

bool gateway_daemon::impl::is_ready() const {
    return state_.table != nullptr && !state_.is_stopping;
}

page gateway_daemon::impl::readiness_page(std::string_view path) const {
    if (path != binding_.wire.readiness_path) {
        return {status_not_found, "text/plain", "no such page\n"};
    }
    const bool ready = is_ready();
    return {ready ? status_ok : status_unavailable, "text/plain",
            ready ? "ready\n" : "not ready\n"};
}

void gateway_daemon::impl::set_gauge(const char* name, const char* help, std::size_t value) {
    metric_values_.gauge_of(metrics::metric_name{name}, help).set(static_cast<std::int64_t>(value));
}

std::chrono::milliseconds gateway_daemon::impl::registry_age() const {
    const time_point since = std::max(started_at_, follower_->last_read());
    return std::chrono::duration_cast<std::chrono::milliseconds>(time_.now() - since);
}

std::size_t gateway_daemon::impl::count_limited_backends() const {
    const auto& entries = state_.backends.entries();
    const auto is_limited = [this](const discovery::directory_entry& row) {
        const balancing::backend_load* load = state_.loads.find(row.id);
        return load != nullptr && load->started == row.registration.started && load->limit;
    };
    return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), is_limited));
}

page gateway_daemon::impl::metrics_page() {
    set_gauge("cicadahatch_ready", "Whether the daemon takes callers", is_ready() ? 1 : 0);
    set_gauge("cicadahatch_requests_running", "Requests in progress", state_.running_requests);
    set_gauge("cicadahatch_buffered_bytes", "Memory held for requests and responses of callers",
              state_.memory.held + state_.memory.read);
    set_gauge("cicadahatch_idle_connections", "Idle connections to backend servers",
              state_.connections.size());
    set_gauge("cicadahatch_callers", "Connections of callers", callers_.size());
    set_gauge("cicadahatch_backends", "Backend servers known", state_.backends.entries().size());
    set_gauge("cicadahatch_backends_limited",
              "Backend servers that state how many requests they take", count_limited_backends());
    set_gauge("cicadahatch_daemons", "Daemons registered in the store", state_.daemons.registered);
    set_gauge("cicadahatch_daemons_sharing", "Daemons by which shared limits are divided",
              state_.daemons.value);
    set_gauge("cicadahatch_registry_subscribers",
              "Daemons that hear from this one what it reads from the store",
              publisher_.subscribers());
    set_gauge("cicadahatch_registry_sources",
              "Daemons from which this one hears what they read from the store",
              subscriber_.sources().size());
    set_gauge("cicadahatch_configuration_version", "Version in force",
              state_.table ? state_.table->version() : 0);
    set_gauge("cicadahatch_registry_age_ms",
              "Time since the store was last read, by this daemon or one that it hears from",
              static_cast<std::size_t>(registry_age().count()));
    set_gauge("cicadahatch_log_lines_dropped", "Log lines left out", log_.dropped());
    const auto& suspects = home_server_.cells().suspects().parts;
    set_gauge("cicadahatch_prompt_parts_suspected",
              "Parts of prompts that engines have crashed with, as this home knows",
              suspects.size());
    set_gauge("cicadahatch_prompt_parts_blocked", "Suspected parts whose requests are refused",
              static_cast<std::size_t>(
                  std::count_if(suspects.begin(), suspects.end(),
                                [](const auto& row) { return cells::is_blocked(row.second); })));
    for (const auto& [cell, hosted] : home_server_.cells().cells()) {
        set_gauge("cicadahatch_home_waiting", "Requests that wait for a place at this home",
                  hosted.waiting.size());
        set_gauge("cicadahatch_home_grants", "Places granted by this home", hosted.grants.size());
    }
    return {status_ok, metrics::prometheus_content_type,
            metrics::render_prometheus(metric_values_, request_recorder_.take_snapshot())};
}

void gateway_daemon::impl::log_readiness_change() {
    if (is_ready() == was_ready_) {
        return;
    }
    was_ready_ = is_ready();
    has_been_ready_ = has_been_ready_ || was_ready_;
    log_.write(weight::notable, "daemon.readiness",
               {{"ready", was_ready_},
                {"version", state_.table ? state_.table->version() : 0},
                {"stopping", state_.is_stopping}});
}

void gateway_daemon::impl::await_signal() {
    signals_.async_wait([this](const net_error& error, int number) {
        if (!error) {
            on_signal(number);
            await_signal();
        }
    });
}

void gateway_daemon::impl::on_signal(int number) {
    log_.write(weight::notable, "daemon.signal", {{"signal", signal_name(number)}});
    if (number == SIGHUP) {
        reload();
    } else if (!state_.is_stopping) {
        start_shutdown();
    } else if (number == SIGINT) {
        // Only a user at the terminal asks twice; a repeated SIGTERM cuts nothing off.
        is_graceful_ = state_.running_requests == 0;
        loop_.stop();
    }
}

void gateway_daemon::impl::reload() {
    const auto loaded = settings::load_gateway_settings(file_);
    if (!loaded.is_valid()) {
        log_.write(weight::notable, "settings.refused",
                   {{"fault", to_string(loaded.errors.front())}});
        return;
    }
    configured_.bounds = loaded.value.bounds;
    configured_.limits = loaded.value.limits;
    state_.options = to_forwarding_options(configured_);
    feed_.set_timeout(registry_silence(configured_.bounds));
    subscriber_.set_timeout(registry_silence(configured_.bounds));
    callers_.set_max_size(max_callers(configured_.limits.descriptors));
    forwarding::update_retry_budgets(state_);
    log_.write(weight::notable, "settings.reloaded",
               {{"retry_ratio", configured_.bounds.retry_ratio},
                {"retry_extra", configured_.bounds.retry_extra}});
}

void gateway_daemon::impl::start_shutdown() {
    state_.is_stopping = true;
    stopping_since_ = time_.now();
    state_.shutdown = forwarding::plan_shutdown(stopping_since_, configured_.bounds.shutdown);
    // Callers are served until the exit, so routes and backend servers must stay up to date.
    follower_->leave();
    publisher_.close();
    home_server_.leave();
    placements_.start_shutdown();
    log_readiness_change();
}

void gateway_daemon::impl::tick() {
    const time_point now = time_.now();
    std::vector<discovery::directory_change> changes;
    state_.backends.expire(now, changes);
    handle_backend_changes(changes);
    state_.connections.close_expired(now);
    if (!state_.is_stopping) {
        // A daemon that stops takes no larger share: the others take over what it leaves.
        forwarding::tick_daemon_count(state_);
    }
    home_server_.tick();
    homes_.tick();
    placements_.tick();
    usage_.tick();
    role_controller_.tick();
    tick_registry();
    log_configuration_age();
    callers_.remove_closed();
    if (!state_.is_stopping) {
        return;
    }
    const bool is_out_of_rotation = now - stopping_since_ >= forwarding::balancer_detection_time;
    if (is_out_of_rotation) {
        callers_.close_idle();
    }
    if (now >= state_.shutdown.last_response) {
        callers_.end_unanswered(forwarding::request_end_reason::stopping);
    }
    // The exit of the process resets connections whose last response is still on its way.
    const bool is_done = is_out_of_rotation && state_.running_requests == 0 && callers_.size() == 0;
    if (is_done || now >= state_.shutdown.exit) {
        is_graceful_ = state_.running_requests == 0;
        loop_.stop();
    }
}

void gateway_daemon::impl::tick_registry() {
    if (configured_.registry.empty()) {
        return;
    }
    publisher_.tick();
    subscriber_.tick();
    feed_.set_relaying(publisher_.subscribers() > 0);
}

void gateway_daemon::impl::schedule_tick() {
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const net_error& error) {
        if (!error) {
            tick();
            schedule_tick();
        }
    });
}

void gateway_daemon::impl::follow() {
    follower_->run(
        [this](discovery::registry_update update) {
            asio::post(loop_, [this, update = std::move(update)] { on_update(update); });
        },
        [this](const discovery::store_status& state) {
            asio::post(loop_, [this, state] { on_store_state(state); });
        });
}

void gateway_daemon::impl::log_restore(const discovery::store_restore& restored) {
    log_.write(weight::notable, "store.restored",
               {{"generation", store::generation_of(restored.after).value()},
                {"revision", store::counter_of(restored.after)},
                {"generation_before", store::generation_of(restored.before).value()},
                {"revision_before", store::counter_of(restored.before)},
                {"version", state_.table ? state_.table->version() : 0}});
    metric_values_
        .counter_of(metrics::metric_name{"cicadahatch_store_restores_total"},
                    "Returns of the store from an older copy that this daemon has noticed")
        .add();
}

void gateway_daemon::impl::log_behind(revision position) {
    log_.write(weight::notable, "registry.behind",
               {{"revision", store::counter_of(position)},
                {"version", state_.table ? state_.table->version() : 0},
                {"registry_age_ms", registry_age()}});
    metric_values_
        .counter_of(metrics::metric_name{"cicadahatch_registry_catch_ups_total"},
                    "Times that more had changed in the store than one reply may hold")
        .add();
}

void gateway_daemon::impl::log_catch_up(const discovery::catch_up& done) {
    log_.write(weight::notable, "registry.caught_up",
               {{"revision_before", store::counter_of(done.before)},
                {"revision", store::counter_of(done.after)},
                {"bytes", done.bytes},
                {"taken_ms", done.taken}});
}

void gateway_daemon::impl::on_update(discovery::registry_update update) {
    if (update.restored) {
        log_restore(*update.restored);
    }
    if (update.caught_up) {
        log_catch_up(*update.caught_up);
    }
    if (update.configuration) {
        lost_configuration_.record_stored(update.configuration_entry,
                                          update.configuration->version);
        on_configuration(*update.configuration);
        pass_on_lost_configuration();
    }
    on_backends(update);
    for (const std::string& key : update.unreadable) {
        log_.write(weight::notable, "store.unreadable", {{"key", key}});
    }
    if (update.has_daemon_list) {
        forwarding::record_registered_daemons(state_, update.daemons.size());
        log_.write(weight::notable, "daemons.counted",
                   {{"daemons", update.daemons.size()}, {"sharing", state_.daemons.value}});
        state_.daemon_ids.clear();
        state_.daemon_domains.clear();
        for (const discovery::registered_daemon& daemon : update.daemons) {
            state_.daemon_ids.push_back(daemon.id);
            state_.daemon_domains.emplace(daemon.id, daemon.domain);
        }
        subscriber_.set_daemons(update.daemons);
        homes_.set_daemons(std::move(update.daemons));
        placements_.tick();
    }
    if (update.configuration || update.is_snapshot || !update.present.empty() ||
        !update.absent.empty()) {
        home_server_.refresh();
    }
    log_readiness_change();
}

void gateway_daemon::impl::on_configuration(routing::configuration accepted) {
    const std::uint64_t before = state_.table ? state_.table->version() : 0;
    const bool is_newer = !state_.table || accepted.version > before;
    log_.write(weight::notable, "configuration.seen",
               {{"version", accepted.version},
                {"before", before},
                {"routes", accepted.routes.size()},
                {"teams", accepted.teams ? accepted.teams->size() : 0},
                {"taken", is_newer}});
    if (is_newer) {
        state_.table = std::make_shared<const routing::route_table>(std::move(accepted), key_seed_);
    }
}

void gateway_daemon::impl::on_passed_configuration(const store::entry& entry) {
    auto decoded = binding_.entries.read_configuration(entry);
    if (!decoded) {
        log_.write(weight::notable, "configuration.unreadable", {{"key", entry.key}});
        return;
    }
    lost_configuration_.record_received(entry, decoded->version);
    on_configuration(std::move(*decoded));
    pass_on_lost_configuration();
    log_readiness_change();
}

void gateway_daemon::impl::pass_on_lost_configuration() {
    const std::uint64_t version = lost_configuration_.version();
    if (version == passed_on_version_) {
        return;
    }
    passed_on_version_ = version;
    publisher_.pass_on(lost_configuration_.find());
    subscriber_.pass_on(lost_configuration_.find());
    log_.write(weight::notable, "configuration.lost", {{"version", version}});
}

void gateway_daemon::impl::on_confirmation(time_point complete_as_of) {
    discovery::confirm(state_.configuration_age, complete_as_of);
    log_configuration_age();
}

void gateway_daemon::impl::log_configuration_age() {
    const time_point now = lease_time_.now();
    const bool is_outdated = discovery::is_outdated(state_.configuration_age, now);
    if (is_outdated == was_outdated_) {
        return;
    }
    was_outdated_ = is_outdated;
    log_.write(weight::notable, "configuration.age",
               {{"outdated", is_outdated},
                {"version", state_.table ? state_.table->version() : 0},
                {"age_ms", duration{now - state_.configuration_age.complete_as_of}}});
}

void gateway_daemon::impl::on_backends(const discovery::registry_update& update) {
    const time_point now = time_.now();
    std::vector<discovery::directory_change> changes;
    if (update.restored) {
        state_.backends.begin_restore(changes);
    }
    for (const discovery::backend& present : update.present) {
        if (update.restored) {
            state_.backends.upsert_restored(present, update.restored->removed_usable_at, changes);
        } else {
            state_.backends.upsert(present, changes);
        }
    }
    std::vector<backend_id> absent = update.absent;
    if (update.is_snapshot) {
        for (const discovery::directory_entry& row : state_.backends.entries()) {
            const bool is_listed = std::any_of(
                update.present.begin(), update.present.end(),
                [&row](const discovery::backend& present) { return present.id == row.id; });
            if (!is_listed) {
                absent.push_back(row.id);
            }
        }
    }
    for (const backend_id& id : absent) {
        state_.backends.remove(id, update.grace_ends_at, now, changes);
    }
    handle_backend_changes(changes);
}

void gateway_daemon::impl::handle_backend_changes(
    const std::vector<discovery::directory_change>& changes) {
    for (const discovery::directory_change& change : changes) {
        const discovery::backend* known = state_.backends.find(change.backend);
        if (known == nullptr || known->is_draining) {
            state_.connections.close_all(change.backend);
        }
        begin_slow_start(change);
        log_.write(weight::notable, "backend.changed",
                   {{"backend", change.backend.str()},
                    {"change", discovery::to_string(change.kind)},
                    {"role", known == nullptr ? -1 : static_cast<int>(known->role)},
                    {"place", known == nullptr ? std::string{} : http::to_string(known->address)}});
    }
}

/// Servers that this daemon finds at its start have served others before.
void gateway_daemon::impl::begin_slow_start(const discovery::directory_change& change) {
    using change_kind = discovery::directory_change::change_kind;
    const bool is_new = change.kind == change_kind::added || change.kind == change_kind::restarted;
    const discovery::backend* known = state_.backends.find(change.backend);
    if (!state_.options.paces_servers || !is_new || !has_been_ready_ || known == nullptr) {
        return;
    }
    auto& load = balancing::load_of(state_.loads, known->id, known->started);
    balancing::begin_slow_start(load.pace, time_.now());
    log_.write(weight::notable, "backend.starts_slowly", {{"backend", known->id.str()}});
}

void gateway_daemon::impl::on_store_state(const discovery::store_status& state) {
    log_.write(weight::notable, state.is_reachable ? "store.reached" : "store.lost",
               {{"error", state.error ? state.error.message() : std::string{}},
                {"version", state_.table ? state_.table->version() : 0},
                {"registry_age_ms", registry_age()}});
}

} // namespace cicadahatch::gateway
