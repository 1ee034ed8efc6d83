#include "src/serving/load_poller.hpp"

#include "src/engines/calls.hpp"
#include "src/engines/error.hpp"
#include "src/serving/constants.hpp"

namespace cicadahatch::serving {

namespace {

constexpr int worker_count = 4;
constexpr int misses_until_unreachable = 2;
constexpr std::chrono::milliseconds idle_wait{20};

/// A plain service need not know the load call; any answer shows that it is there.
bool is_known_to_answer(const backend_row& server, const std::error_code& error) {
    const bool is_silent =
        error == engines::errc::not_reached || error == engines::errc::no_response;
    return server.role == backend_role::plain && !is_silent;
}

} // namespace

load_poller::load_poller(const clock& time, backend_directory& directory,
                         std::function<filter()> make_filter)
    : time_(time), directory_(directory), make_filter_(std::move(make_filter)) {
    for (int worker = 0; worker < worker_count; ++worker) {
        workers_.emplace_back([this] { run(); });
    }
}

load_poller::~load_poller() {
    {
        const std::lock_guard lock{mutex_};
        is_stopping_ = true;
    }
    stopping_.notify_all();
    for (std::thread& worker : workers_) {
        worker.join();
    }
}

void load_poller::on_leaving(std::function<void(const backend_id&, incarnation)> called) {
    const std::lock_guard lock{mutex_};
    on_leaving_ = std::move(called);
}

std::vector<backend_row> load_poller::due() {
    const std::lock_guard lock{mutex_};
    const time_point now = time_.now();
    if (now >= next_look_) {
        next_look_ = now + idle_wait;
        look(now);
    }
    std::vector<backend_row> taken;
    if (!waiting_.empty()) {
        taken.push_back(std::move(waiting_.front()));
        waiting_.pop_front();
    }
    return taken;
}

void load_poller::look(time_point now) {
    const filter is_wanted = make_filter_();
    const auto is_due = [&](const backend_row& server) {
        const auto next = next_.find(server.id);
        return (next == next_.end() || next->second <= now) && is_wanted(server);
    };
    for (backend_row& server : directory_.select(is_due)) {
        next_[server.id] = now + load_poll_period;
        waiting_.push_back(std::move(server));
    }
}

void load_poller::run() {
    while (true) {
        const std::vector<backend_row> servers = due();
        for (const backend_row& server : servers) {
            poll(server);
        }
        std::unique_lock lock{mutex_};
        const bool is_idle = servers.empty();
        if (is_idle) {
            stopping_.wait_for(lock, idle_wait, [this] { return is_stopping_; });
        }
        if (is_stopping_) {
            return;
        }
    }
}

void load_poller::poll(const backend_row& server) {
    const auto load = engines::fetch_load(pool_, server.place);
    const bool is_answered = load.has_value() || is_known_to_answer(server, load.error());
    finish(server.id, is_answered);
    if (is_answered) {
        directory_.note_reachable(server.id);
    }
    if (!load) {
        return;
    }
    directory_.note_load(server.id, *load, time_.now(), changed_cache(server, *load));
    std::function<void(const backend_id&, incarnation)> told;
    {
        const std::lock_guard lock{mutex_};
        told = on_leaving_;
    }
    if (load->is_leaving && told) {
        told(server.id, load->started);
    }
}

std::shared_ptr<const engines::cached_prefix_set>
load_poller::changed_cache(const backend_row& server, const engines::load_report& load) {
    const bool is_known = server.cache != nullptr && server.started == load.started &&
                          server.cache->sequence >= load.cache_sequence;
    if (server.role == backend_role::plain || load.cache_sequence == 0 || is_known) {
        return nullptr;
    }
    {
        const std::lock_guard lock{mutex_};
        const auto next = next_cache_call_.find(server.id);
        if (next != next_cache_call_.end() && time_.now() < next->second) {
            return nullptr;
        }
    }
    auto content = engines::fetch_cached_prefixes(pool_, server.place);
    if (!content) {
        const std::lock_guard lock{mutex_};
        next_cache_call_[server.id] = time_.now() + cache_retry_period;
        return nullptr;
    }
    return std::make_shared<const engines::cached_prefix_set>(std::move(*content));
}

void load_poller::finish(const backend_id& id, bool is_answered) {
    int misses = 0;
    {
        const std::lock_guard lock{mutex_};
        misses_[id] = is_answered ? 0 : misses_[id] + 1;
        misses = misses_[id];
    }
    if (misses >= misses_until_unreachable) {
        directory_.note_unreachable(id);
    }
}

} // namespace cicadahatch::serving
