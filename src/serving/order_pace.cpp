#include "src/serving/order_pace.hpp"

#include "src/engines/constants.hpp"
#include "src/orders/error.hpp"

#include <algorithm>

namespace cicadahatch::serving {

namespace {

constexpr std::chrono::seconds shortest_pause{1};
constexpr std::uint32_t most_doublings = 8;

/// A report that came later than this after an order's end was surely taken after it.
constexpr duration longest_report_lag = engines::control_timeout;

duration pause_after(std::uint32_t failures) {
    const std::uint32_t doublings = std::min(failures - 1, most_doublings);
    return shortest_pause * (1U << doublings);
}

} // namespace

bool is_order_due(const order_table& sent, const backend_id& engine, time_point reported,
                  time_point now) {
    const order_row* row = sent.find(engine);
    if (row == nullptr) {
        return true;
    }
    const bool is_told = reported > row->ended_at + longest_report_lag;
    return !row->is_under_way && now >= row->retry_at && is_told;
}

bool is_any_under_way(const order_table& sent) {
    return std::any_of(sent.rows().begin(), sent.rows().end(),
                       [](const order_row& row) { return row.is_under_way; });
}

void begin_order(order_table& sent, const backend_id& engine, time_point now) {
    if (sent.find(engine) == nullptr) {
        order_row fresh;
        fresh.id = engine;
        sent.insert(std::move(fresh));
    }
    order_row* row = sent.find(engine);
    row->is_under_way = true;
    row->sent_at = now;
}

void end_order(order_table& sent, const backend_id& engine, const std::error_code& outcome,
               std::chrono::seconds longest_order, time_point now) {
    order_row* row = sent.find(engine);
    if (row == nullptr) {
        return;
    }
    row->is_under_way = false;
    row->ended_at = now;
    row->failures_in_row = outcome ? row->failures_in_row + 1 : 0;
    row->retry_at = outcome ? now + pause_after(row->failures_in_row) : now;
    if (outcome == orders::errc::outcome_unknown) {
        row->retry_at = std::max(row->retry_at, row->sent_at + longest_order);
    }
}

} // namespace cicadahatch::serving
