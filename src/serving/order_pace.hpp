#pragma once

#include "src/core/clock.hpp"
#include "src/core/identifiers.hpp"
#include "src/core/table.hpp"

#include <chrono>
#include <cstdint>
#include <system_error>

namespace cicadahatch::serving {

/// \brief How the last order to one engine went.
struct order_row {
    backend_id id;
    bool is_under_way = false;
    time_point sent_at;
    time_point ended_at;
    time_point retry_at; ///< no order before this
    std::uint32_t failures_in_row = 0;
};

/// The orders of a cell, by engine.
using order_table = table<backend_id, order_row>;

/// \returns whether an engine may get an order: none is under way, its pause after a failure is
/// over, and its report was surely taken after the last order's end
[[nodiscard]] bool is_order_due(const order_table& sent, const backend_id& engine,
                                time_point reported, time_point now);

/// \returns whether any order is under way
[[nodiscard]] bool is_any_under_way(const order_table& sent);

/// \brief Notes that an order goes out.
void begin_order(order_table& sent, const backend_id& engine, time_point now);

/// \brief Notes the end of an order. After failures the pause doubles; after an order of unknown
/// outcome it lasts until the order can't be under way any more.
void end_order(order_table& sent, const backend_id& engine, const std::error_code& outcome,
               std::chrono::seconds longest_order, time_point now);

} // namespace cicadahatch::serving
