#include "src/http/internal/connection_watch.hpp"

#include <algorithm>
#include <csignal>
#include <vector>

namespace cicadahatch::http::internal {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds watch_period{50};
/// Connections that wait for less than this are not ended to free a worker.
constexpr milliseconds least_wait{200};
/// Ignored unless handled, so that a late one does no harm.
constexpr int interrupt_signal = SIGURG;

void do_nothing(int signal) {
    static_cast<void>(signal);
}

/// Without SA_RESTART a blocking call returns when the signal arrives.
void handle_interrupts() {
    struct sigaction action {};
    action.sa_handler = do_nothing;
    sigaction(interrupt_signal, &action, nullptr);
}

void interrupt_worker(pthread_t worker) {
    pthread_kill(worker, interrupt_signal);
}

std::vector<connection_row*> longest_waiting_first(connection_table& connections, time_point now) {
    std::vector<connection_row*> waiting;
    for (auto& [connection, row] : connections) {
        if (row.phase != connection_phase::running && now - row.since >= least_wait) {
            waiting.push_back(&row);
        }
    }
    std::sort(waiting.begin(), waiting.end(),
              [](const auto* left, const auto* right) { return left->since < right->since; });
    return waiting;
}

void mark_late_bodies(connection_table& connections, milliseconds timeout, time_point now) {
    for (auto& [connection, row] : connections) {
        const bool is_late = row.phase == connection_phase::body && now - row.since >= timeout;
        row.is_interrupted = row.is_interrupted || is_late;
    }
}

void mark_longest_waiting(connection_table& connections, const connection_limits& limits,
                          time_point now) {
    const auto allowed = static_cast<std::size_t>(limits.workers - limits.reserved_workers);
    if (limits.reserved_workers == 0 || connections.size() <= allowed) {
        return;
    }
    auto waiting = longest_waiting_first(connections, now);
    waiting.resize(std::min(waiting.size(), connections.size() - allowed));
    for (connection_row* row : waiting) {
        row->is_interrupted = true;
    }
}

} // namespace

void interrupt_waiting(connection_table& connections, const connection_limits& limits,
                       time_point now, void (*interrupt)(pthread_t)) {
    mark_late_bodies(connections, limits.body_timeout, now);
    mark_longest_waiting(connections, limits, now);
    for (auto& [connection, row] : connections) {
        // A signal that meets no blocking call is lost; the next round sends another.
        if (row.is_interrupted && row.phase != connection_phase::running) {
            interrupt(row.worker);
        }
    }
}

connection_watch::connection_watch(connection_limits limits, const clock& time)
    : limits_(limits), time_(time) {
    handle_interrupts();
    thread_ = std::thread{[this] { run(); }};
}

connection_watch::~connection_watch() {
    {
        const std::lock_guard lock{mutex_};
        is_stopping_ = true;
    }
    stopping_.notify_all();
    thread_.join();
}

void connection_watch::open(const mg_connection* connection) {
    const std::lock_guard lock{mutex_};
    connections_[connection] = {pthread_self(), connection_phase::head, time_.now(), false};
}

void connection_watch::enter(const mg_connection* connection, connection_phase phase) {
    const std::lock_guard lock{mutex_};
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        found->second = {found->second.worker, phase, time_.now(), false};
    }
}

void connection_watch::close(const mg_connection* connection) {
    const std::lock_guard lock{mutex_};
    connections_.erase(connection);
}

bool connection_watch::is_late(const mg_connection* connection) const {
    const std::lock_guard lock{mutex_};
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return false;
    }
    const bool has_waited = time_.now() - found->second.since >= limits_.body_timeout;
    return found->second.is_interrupted || has_waited;
}

void connection_watch::run() {
    std::unique_lock lock{mutex_};
    while (!is_stopping_) {
        stopping_.wait_for(lock, watch_period);
        interrupt_waiting(connections_, limits_, time_.now(), interrupt_worker);
    }
}

} // namespace cicadahatch::http::internal
