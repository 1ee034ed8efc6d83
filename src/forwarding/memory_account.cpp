#include "src/forwarding/memory_account.hpp"

#include <algorithm>

namespace cicadahatch::forwarding {

namespace {

using namespace std::chrono_literals;

/// Bytes within stall_time that count as progress. Callers that send less are as good as stalled,
/// but are evicted only when memory or connections run out.
constexpr std::size_t min_progress = 1024;
constexpr std::chrono::milliseconds stall_time = 250ms;

bool is_stalled(const reading& row, time_point now) {
    return now - row.progressed_at >= stall_time;
}

bool fits(const memory_account& account, std::size_t bytes) {
    return account.held + account.read + bytes <= account.limit;
}

void evict(memory_account& account, reading_id id, memory_grant& grant) {
    end_reading(account, id);
    grant.evicted.push_back(id);
}

/// \returns the readings that may be evicted for one of the given size, in this order
std::vector<reading_id> eviction_order(const memory_account& account, reading_id self,
                                       std::size_t bytes, time_point now) {
    std::vector<reading> rows;
    for (const reading& row : account.readings.rows()) {
        if (row.id != self && row.bytes > 0 && (is_stalled(row, now) || row.bytes > bytes)) {
            rows.push_back(row);
        }
    }
    std::sort(rows.begin(), rows.end(), [now](const reading& left, const reading& right) {
        const bool left_stalled = is_stalled(left, now);
        if (left_stalled != is_stalled(right, now)) {
            return left_stalled;
        }
        return left_stalled ? left.bytes > right.bytes : left.id.value() > right.id.value();
    });
    std::vector<reading_id> order(rows.size());
    std::transform(rows.begin(), rows.end(), order.begin(),
                   [](const reading& row) { return row.id; });
    return order;
}

/// Evicts readings until the bytes fit, or none if that is not enough.
memory_grant make_room(memory_account& account, reading_id self, std::size_t bytes,
                       std::size_t size, time_point now) {
    memory_grant grant;
    if (fits(account, bytes)) {
        grant.is_granted = true;
        return grant;
    }
    const auto order = eviction_order(account, self, size, now);
    std::size_t evictable = 0;
    for (const reading_id id : order) {
        evictable += account.readings.find(id)->bytes;
    }
    if (account.held + account.read + bytes > account.limit + evictable) {
        return grant;
    }
    for (const reading_id id : order) {
        if (fits(account, bytes)) {
            break;
        }
        evict(account, id, grant);
    }
    grant.is_granted = true;
    return grant;
}

} // namespace

reading_id begin_reading(memory_account& account, time_point now) {
    reading row;
    row.id = reading_id{++account.last_reading};
    row.progressed_at = now;
    account.readings.insert(row);
    return row.id;
}

void end_reading(memory_account& account, reading_id id) {
    if (const reading* row = account.readings.find(id)) {
        account.read -= row->bytes;
        account.readings.erase(id);
    }
}

void record_received(memory_account& account, reading_id id, std::size_t bytes, time_point now) {
    reading* row = account.readings.find(id);
    if (row == nullptr) {
        return;
    }
    row->received += bytes;
    if (row->received >= min_progress) {
        row->received = 0;
        row->progressed_at = now;
    }
}

memory_grant resize_reading(memory_account& account, reading_id id, std::size_t bytes,
                            time_point now) {
    const reading* row = account.readings.find(id);
    if (row == nullptr) {
        return {};
    }
    const std::size_t added = bytes - std::min(bytes, row->bytes);
    memory_grant grant = make_room(account, id, added, bytes, now);
    if (grant.is_granted) {
        reading* resized = account.readings.find(id);
        account.read = account.read - resized->bytes + bytes;
        resized->bytes = bytes;
    }
    return grant;
}

memory_grant hold(memory_account& account, std::size_t bytes, time_point now) {
    memory_grant grant = make_room(account, {}, bytes, bytes, now);
    if (grant.is_granted) {
        account.held += bytes;
    }
    return grant;
}

void hold_unconditionally(memory_account& account, std::size_t bytes) {
    account.held += bytes;
}

void release(memory_account& account, std::size_t bytes) {
    account.held -= std::min(bytes, account.held);
}

std::vector<reading_id> evict_stalled(memory_account& account, time_point now) {
    const auto& rows = account.readings.rows();
    const auto oldest =
        std::min_element(rows.begin(), rows.end(), [](const reading& left, const reading& right) {
            return left.progressed_at < right.progressed_at;
        });
    if (oldest == rows.end() || !is_stalled(*oldest, now)) {
        return {};
    }
    const reading_id id = oldest->id;
    end_reading(account, id);
    return {id};
}

} // namespace cicadahatch::forwarding
