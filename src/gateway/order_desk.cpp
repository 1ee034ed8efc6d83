#include "src/gateway/order_desk.hpp"

#include "src/gateway/constants.hpp"

#include <glog/logging.h>
#include <utility>

namespace cicadahatch::gateway {

namespace {

/// Failures of the store that pass between two lines about them; one line in about ten seconds.
constexpr int log_interval = 10;

} // namespace

order_desk::order_desk(std::unique_ptr<store::key_value_store> kept, const clock& time,
                       daemon_id self, const orders::issuer_limits& limits,
                       permit_handler on_permit)
    : kept_(std::move(kept)), time_(time), self_(std::move(self)), limits_(limits),
      on_permit_(std::move(on_permit)), worker_([this] { run(); }) {}

order_desk::~order_desk() {
    {
        const std::lock_guard lock{mutex_};
        is_closing_ = true;
    }
    changed_.notify_all();
    worker_.join();
}

void order_desk::hold(std::set<cell_id> cells) {
    {
        const std::lock_guard lock{mutex_};
        wanted_ = std::move(cells);
    }
    changed_.notify_all();
}

bool order_desk::ask(const cell_id& cell, const orders::order& due) {
    {
        const std::lock_guard lock{mutex_};
        if (wish_) {
            return false;
        }
        wish_ = wish{cell, due, time_.now() + lease_patience};
    }
    changed_.notify_all();
    return true;
}

void order_desk::run() {
    std::unique_lock lock{mutex_};
    while (!is_closing_) {
        const std::set<cell_id> wanted = wanted_;
        const std::optional<wish> asked = wish_;
        lock.unlock();
        follow(wanted);
        const bool is_answered = asked && try_answer(*asked);
        lock.lock();
        if (is_answered) {
            wish_.reset();
        }
        const auto has_news = [&] {
            const bool has_wish = wish_ && (!asked || is_answered);
            return is_closing_ || wanted_ != wanted || has_wish;
        };
        if (wanted.empty() && !wish_) {
            changed_.wait(lock, has_news);
        } else {
            changed_.wait_for(lock, lease_poll, has_news);
        }
    }
}

void order_desk::follow(const std::set<cell_id>& wanted) {
    for (auto& [id, held] : cells_) {
        if (!wanted.contains(id)) {
            held.issuing.release();
        }
    }
    std::erase_if(cells_, [&wanted](const auto& row) { return !wanted.contains(row.first); });
    for (const cell_id& id : wanted) {
        const auto known = cells_.find(id);
        if (known != cells_.end()) {
            keep(known->second);
            continue;
        }
        held_cell fresh{orders::issuer{*kept_, time_, id, self_, limits_}, {}};
        keep(cells_.emplace(id, std::move(fresh)).first->second);
    }
}

void order_desk::keep(held_cell& held) {
    if (!held.issuing.lease() && time_.now() < held.next_try) {
        return;
    }
    const std::error_code error = held.issuing.tick();
    if (error || !held.issuing.lease()) {
        held.next_try = time_.now() + lease_retry;
    }
    if (error) {
        LOG_EVERY_N(WARNING, log_interval) << "orders: store: " << error.message();
    }
}

bool order_desk::try_answer(const wish& wanted) {
    const auto held = cells_.find(wanted.cell);
    if (held != cells_.end()) {
        if (const auto permit = held->second.issuing.admit(wanted.due)) {
            on_permit_(wanted.cell, permit);
            return true;
        }
    }
    if (time_.now() < wanted.until) {
        return false;
    }
    on_permit_(wanted.cell, std::nullopt);
    return true;
}

} // namespace cicadahatch::gateway
