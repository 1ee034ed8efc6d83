#include "src/gateway/order_lease_manager.hpp"

#include "src/gateway/constants.hpp"

#include <glog/logging.h>
#include <utility>

namespace cicadahatch::gateway {

namespace {

/// Store failures per log line, which gives about one line in ten seconds.
constexpr int failures_per_log_line = 10;

} // namespace

order_lease_manager::order_lease_manager(std::unique_ptr<store::key_value_store> store,
                                         const clock& time, daemon_id self,
                                         const orders::issuer_limits& limits,
                                         permit_handler on_permit)
    : store_(std::move(store)), time_(time), self_(std::move(self)), limits_(limits),
      on_permit_(std::move(on_permit)), worker_([this] { run(); }) {}

order_lease_manager::~order_lease_manager() {
    {
        const std::lock_guard lock{mutex_};
        is_closing_ = true;
    }
    state_changed_.notify_all();
    worker_.join();
}

void order_lease_manager::hold(std::set<cell_id> cells) {
    {
        const std::lock_guard lock{mutex_};
        desired_cells_ = std::move(cells);
    }
    state_changed_.notify_all();
}

void order_lease_manager::set_generation(store::generation current) {
    const std::lock_guard lock{mutex_};
    generation_ = current;
    generation_since_ = time_.now();
}

bool order_lease_manager::request_permit(const cell_id& cell, const orders::order& order) {
    {
        const std::lock_guard lock{mutex_};
        if (pending_request_) {
            return false;
        }
        pending_request_ = permit_request{cell, order, time_.now() + permit_timeout};
    }
    state_changed_.notify_all();
    return true;
}

void order_lease_manager::run() {
    std::unique_lock lock{mutex_};
    while (!is_closing_) {
        const std::set<cell_id> desired_cells = desired_cells_;
        const std::optional<permit_request> request = pending_request_;
        lock.unlock();
        update_leases(desired_cells);
        const bool is_resolved = request && try_resolve(*request);
        lock.lock();
        if (is_resolved) {
            pending_request_.reset();
        }
        const auto has_changed = [&] {
            const bool has_request = pending_request_ && (!request || is_resolved);
            return is_closing_ || desired_cells_ != desired_cells || has_request;
        };
        if (desired_cells.empty() && !pending_request_) {
            state_changed_.wait(lock, has_changed);
        } else {
            state_changed_.wait_for(lock, lease_poll_period, has_changed);
        }
    }
}

void order_lease_manager::update_leases(const std::set<cell_id>& desired_cells) {
    for (auto& [id, held] : cells_) {
        if (!desired_cells.contains(id)) {
            held.issuer.release();
        }
    }
    std::erase_if(cells_,
                  [&desired_cells](const auto& row) { return !desired_cells.contains(row.first); });
    for (const cell_id& id : desired_cells) {
        const auto known = cells_.find(id);
        if (known != cells_.end()) {
            maintain_lease(known->second);
            continue;
        }
        held_cell added{orders::issuer{*store_, time_, id, self_, limits_}, {}};
        maintain_lease(cells_.emplace(id, std::move(added)).first->second);
    }
}

void order_lease_manager::maintain_lease(held_cell& held) {
    if (!held.issuer.lease() && time_.now() < held.retry_at) {
        return;
    }
    {
        const std::lock_guard lock{mutex_};
        held.issuer.set_generation(generation_, generation_since_);
    }
    const std::error_code error = held.issuer.tick();
    if (error || !held.issuer.lease()) {
        held.retry_at = time_.now() + lease_retry_delay;
    }
    if (error) {
        LOG_EVERY_N(WARNING, failures_per_log_line) << "orders: store: " << error.message();
    }
}

bool order_lease_manager::try_resolve(const permit_request& request) {
    const auto held = cells_.find(request.cell);
    if (held != cells_.end()) {
        if (const auto permit = held->second.issuer.admit(request.order)) {
            on_permit_(request.cell, permit);
            return true;
        }
    }
    if (time_.now() < request.expires_at) {
        return false;
    }
    on_permit_(request.cell, std::nullopt);
    return true;
}

} // namespace cicadahatch::gateway
